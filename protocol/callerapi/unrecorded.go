package callerapi

import (
	"errors"
	"net/http"

	"github.com/marblering/marblering/state/result"
)

// Unrecorded returns what a caller is told of a refusal that no record keeps,
// such as that of a node without a quorum, or one that is starting or stopping.
// Where the caller chose the idempotency key, an earlier request with it may have
// run, and this node doesn't know. The outcome is then unresolved, and asking
// again with the same key finds it out. A request without a key was not run.
func Unrecorded(refusal *result.Error, header http.Header) *result.Error {
	if header.Get(HeaderKey) == "" {
		return refusal
	}
	return result.Errorf(result.OutcomeUnresolved,
		"this request was not run here, but an earlier one with its key may have been: %s", refusal.Message).WithRetryAfter(refusal.RetryAfter)
}

// unrecorded is Unrecorded for an error that may be a refusal.
func unrecorded(err error, header http.Header) error {
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		return err
	}
	return Unrecorded(refusal, header)
}
