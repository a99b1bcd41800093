package callerapi

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

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
	// headerShouldRetry overrules the rules by which OpenAI's client libraries
	// repeat a request by themselves.
	headerShouldRetry = "X-Should-Retry"
)

// ErrorBody is the JSON form of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error; docs/RESULT-CODES.md lists the codes.
type ErrorDetail struct {
	Code      result.Code      `json:"code"`
	Type      string           `json:"type"`
	Message   string           `json:"message"`
	Execution result.Execution `json:"execution"`
	Repeat    result.Repeat    `json:"repeat"`
	// RetryAfterSeconds equals the Retry-After header; zero where none is set.
	// A stream has no header for it once it has begun.
	RetryAfterSeconds int64 `json:"retry_after_seconds,omitempty"`
}

// asResult returns what the caller is told of an error. The text of an
// unexpected one stays in the log.
func asResult(err error) *result.Error {
	var failure *result.Error
	if errors.As(err, &failure) {
		return failure
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return result.Errorf(result.OutcomeUnresolved, "this node stopped waiting for the outcome")
	}
	return result.Errorf(result.Internal, "a fault of this program; the log has the details")
}

func (e *exchange) errorBody(failure *result.Error) ErrorBody {
	info := failure.Code.Info()
	return ErrorBody{Error: ErrorDetail{
		Code:              failure.Code,
		Type:              info.Name,
		Message:           failure.Message,
		Execution:         info.Execution,
		Repeat:            info.Repeat,
		RetryAfterSeconds: e.retryAfterSeconds(failure),
	}}
}

// retryAfterSeconds rounds up, so that the caller never asks too early.
func (e *exchange) retryAfterSeconds(failure *result.Error) int64 {
	pause := failure.RetryAfter
	if pause <= 0 && failure.Code.Info().Repeat != result.RepeatNever {
		pause = e.handler.options.RetryAfter
	}
	return int64((pause + time.Second - 1) / time.Second)
}

func (e *exchange) writeError(failure *result.Error) {
	header := e.writer.Header()
	if seconds := e.retryAfterSeconds(failure); seconds > 0 {
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	header.Set(headerShouldRetry, strconv.FormatBool(e.mayRetry(failure.Code)))
	header.Set(HeaderResult, resultNumber(failure.Code))
	e.writeJSON(failure.Code.Info().HTTP, e.errorBody(failure))
}

// mayRetry says whether a client library may repeat the request by itself.
// Without a key of the caller's own, a repeat would be a new request.
func (e *exchange) mayRetry(code result.Code) bool {
	switch code.Info().Repeat {
	case result.RepeatLater:
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
