// Package objectapi is a client for the platform's object API. The protocol is
// described in docs/ARCHITECTURE.md under "Object API dialect".
//
// The package defines the wire types, retries writes whose response was lost
// ([Client.PutWithRetry]) and implements the store of package configuration
// ([Platform]). It keeps no state.
//
// The error types distinguish requests that certainly weren't done ([ConflictError], [NotFoundError],
// [RejectedError], [UnavailableError]) from those that may have taken effect ([UnknownOutcomeError]).
package objectapi
