package callerapi

import (
	"net/http"
	"strconv"

	"github.com/marblering/marblering/state/result"
)

// Names of the headers of requests and answers.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderSequence   = "Marblering-Sequence"
	HeaderRepeatable = "Marblering-Repeatable"
	HeaderDeadline   = "Marblering-Deadline-Ms"
	HeaderEngine     = "Marblering-Engine"
	HeaderAttempt    = "Marblering-Attempt"
	// HeaderReason says in one line why the engine was chosen.
	HeaderReason = "Marblering-Reason"
	// HeaderResult carries the number of the result code. A streamed answer has
	// it as a trailer (RFC 9110, section 6.5), since the result is known only
	// at the end.
	HeaderResult = "Marblering-Result"
	// HeaderReplayed is "true" where a stored answer is repeated.
	HeaderReplayed = "Marblering-Replayed"
	// headerShouldRetry overrides the rules by which OpenAI's client libraries
	// repeat a request by themselves.
	headerShouldRetry = "X-Should-Retry"
)

// ErrorBody is the JSON form of an error.
type ErrorBody = result.Body

// ErrorDetail describes an error; docs/RESULT-CODES.md lists the codes.
type ErrorDetail = result.Detail

// asResult returns what the caller is told of an error.
func asResult(err error) *result.Error {
	return result.FromError(err, result.Errorf(result.OutcomeUnresolved, "this node stopped waiting for the outcome"))
}

// writeError answers with the error.
func (e *exchange) writeError(failure *result.Error) {
	answer := failure.Response(e.handler.options.RetryAfter)
	header := e.writer.Header()
	answer.SetRetryAfter(header)
	header.Set(headerShouldRetry, strconv.FormatBool(e.mayRetry(failure.Code)))
	header.Set(HeaderResult, resultNumber(failure.Code))
	e.writeJSON(answer.Status, answer.Body)
}

// mayRetry tells whether a client library may repeat the request by itself.
// Without an idempotency key of the caller's, a repeat would be a new request.
func (e *exchange) mayRetry(code result.Code) bool {
	switch code.Info().Repeat {
	case result.RepeatNewKey:
		return true
	case result.RepeatSameKey:
		return e.key != "" || e.request.Method == http.MethodGet
	default:
		return false
	}
}

func resultNumber(code result.Code) string {
	return strconv.FormatUint(uint64(code), 10)
}
