// Package quarantine stops requests under which one instance after the other crashes.
//
// A client tries such a request again under another request id and at another gateway, so
// the tries are recognized by a Fingerprint of what they have in common. A gateway that
// sees an instance end under a request reports a Crash to the storage nodes of one replica
// set, each of which counts it in its Table, before it tries again or answers. All
// gateways follow these tables (Follower), and ask them (Client) before they send a request
// that is in one. Requests under which nothing has crashed cost no message.
//
// The package owns the tables and the copies that gateways have of them. All are in
// memory: a table that is lost with its node is learned from the others. It relies on a
// Nodes for the calls to storage nodes, and on a Views for who they are.
package quarantine
