// Package quarantine stops requests that crash one instance after the other.
//
// A client tries a request again under another request id and at another gateway, so the
// tries are recognized by a Fingerprint of what they have in common.
package quarantine
