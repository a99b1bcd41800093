// Package objectapi is the client of the platform's object API, which
// docs/ARCHITECTURE.md lists under "Object API dialect".
//
// It owns the wire types of that dialect, settles writes whose answer was lost
// ([Client.PutResolved]) and gives configuration its store ([Platform]). It keeps
// no state and relies on an HTTP client that is passed in.
//
// Errors tell apart what certainly wasn't done ([Conflict], [NotFoundError],
// [RejectedError], [UnavailableError]) from what may have been done ([UnknownOutcomeError]).
package objectapi
