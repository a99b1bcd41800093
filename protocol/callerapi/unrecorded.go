package callerapi

import (
	"errors"
	"net/http"

	"github.com/marblering/marblering/state/result"
)

// Unrecorded returns what a caller is told of a refusal that no record keeps,
// as for want of a quorum or by a node that is starting or stopping. Where the
// caller chose the idempotency key itself, an earlier request with it may have
// run, and nothing that this node knows says otherwise: the outcome is
// unresolved and the same key finds out. A request without a key is the only
// one of its kind, and was not run.
func Unrecorded(refusal *result.Error, header http.Header) *result.Error {
	if header.Get(HeaderKey) == "" {
		return refusal
	}
	return result.Errorf(result.OutcomeUnresolved,
		"this request was not run here, but an earlier one with its key may have been: %s", refusal.Message).After(refusal.RetryAfter)
}

// unrecorded converts a refusal that was decided before any record was asked.
func unrecorded(err error, header http.Header) error {
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		return err
	}
	return Unrecorded(refusal, header)
}
