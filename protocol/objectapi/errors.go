package objectapi

import "fmt"

// Conflict says that the condition of a write didn't hold: nothing was done.
type Conflict struct {
	// Current is the object as it stands.
	Current Object
}

// Error names the object and the version that it has.
func (e *Conflict) Error() string {
	return fmt.Sprintf("object %s/%s is at version %d", e.Current.Kind, e.Current.Name, e.Current.Version)
}

// NotFoundError says that the object doesn't exist: nothing was done.
type NotFoundError struct {
	Kind string
	Name string
}

// Error names the object.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s/%s doesn't exist", e.Kind, e.Name)
}

// RevisionTooOldError says that the object API no longer has the events after the revision of
// a watch: everything must be listed again.
type RevisionTooOldError struct {
	// From is the revision of the watch.
	From uint64
}

// Error names the revision.
func (e *RevisionTooOldError) Error() string {
	return fmt.Sprintf("revision %d is too old to watch from", e.From)
}

// UnavailableError says that the request certainly wasn't done: no connection was
// made, or the object API said that it doesn't serve now.
type UnavailableError struct {
	// Action is what was tried, such as "read /machines".
	Action string
	Cause  error
}

// Error says what was tried and why it failed.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: object API unavailable, nothing done: %v", e.Action, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError says that the answer was lost: the request may have taken effect,
// or may still do so.
type UnknownOutcomeError struct {
	// Action is what was tried, such as "put /api/pool/old".
	Action string
	Cause  error
}

// Error says what was tried and what was lost.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s: answer lost, it may have taken effect: %v", e.Action, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// RejectedError says that the object API found the request at fault: nothing was
// done, and the same request will be refused again.
type RejectedError struct {
	// Action is what was tried, such as "put /api/pool/old".
	Action string
	// Status is the HTTP status.
	Status int
	// Message is the body of the answer.
	Message string
}

// Error says what was tried and what the object API answered.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s: refused with status %d: %s", e.Action, e.Status, e.Message)
}
