package objectapi

import "fmt"

// ConflictError is returned if the condition of a write didn't hold. Nothing was done.
type ConflictError struct {
	// Current is the stored object.
	Current Object
}

// Error names the object and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s/%s is at version %d", e.Current.Kind, e.Current.Name, e.Current.Version)
}

// NotFoundError is returned if the object doesn't exist. Nothing was done.
type NotFoundError struct {
	Kind string
	Name string
}

// Error names the object.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s/%s doesn't exist", e.Kind, e.Name)
}

// RevisionTooOldError is returned if the object API no longer has the events after
// the revision of a watch. The caller must list all objects again.
type RevisionTooOldError struct {
	// From is the revision that the watch started from.
	From uint64
}

// Error names the revision.
func (e *RevisionTooOldError) Error() string {
	return fmt.Sprintf("revision %d is too old to watch from", e.From)
}

// UnavailableError is returned if the request certainly wasn't done: no connection
// was made, or the object API answered that it is unavailable. For a read, which
// changes nothing, it also covers lost responses and server errors.
type UnavailableError struct {
	// Action is the failed request, such as "read /machines".
	Action string
	Cause  error
}

// Error describes the request and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: object API unavailable, nothing done: %v", e.Action, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError is returned if no usable response to a write arrived: the
// write may have taken effect, or may still do so.
type UnknownOutcomeError struct {
	// Action is the failed request, such as "put /api/pool/old".
	Action string
	Cause  error
}

// Error describes the request and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s: outcome unknown, the write may have taken effect: %v", e.Action, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// RejectedError is returned if the object API rejected the request as invalid.
// Nothing was done, and repeating the request fails again.
type RejectedError struct {
	// Action is the failed request, such as "put /api/pool/old".
	Action string
	// Status is the HTTP status.
	Status int
	// Message is the response body, truncated to maxDrainedBytes.
	Message string
}

// Error describes the request and the response.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s: rejected with status %d: %s", e.Action, e.Status, e.Message)
}
