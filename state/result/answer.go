package result

import (
	"net/http"
	"strconv"
	"time"
)

// Response is the HTTP response that reports an error to a caller or operator. The
// code that writes it chooses the encoding of the body and any other headers.
type Response struct {
	Status int
	Body   Body
}

// Body is the JSON form of an error.
type Body struct {
	Error Detail `json:"error"`
}

// Detail describes an error; docs/RESULT-CODES.md lists the codes.
type Detail struct {
	Code      Code      `json:"code"`
	Type      string    `json:"type"`
	Message   string    `json:"message"`
	Execution Execution `json:"execution"`
	Repeat    Repeat    `json:"repeat"`
	// RetryAfterSeconds has the value of the Retry-After header, or zero if there
	// is none. Streams need it because an error after the first event can't set a
	// header.
	RetryAfterSeconds int64 `json:"retry_after_seconds,omitempty"`
}

// Detail describes the error, without a retry delay.
func (e *Error) Detail() Detail {
	info := e.Code.Info()
	return Detail{
		Code:      e.Code,
		Type:      info.Name,
		Message:   e.Message,
		Execution: info.Execution,
		Repeat:    info.Repeat,
	}
}

// Response returns the HTTP response for the error. Its retry delay is that of the
// error; an error without one gets the default delay if its code allows a retry.
// A delay of zero sets no Retry-After.
func (e *Error) Response(defaultDelay time.Duration) Response {
	info := e.Code.Info()
	delay := e.RetryAfter
	if delay <= 0 && info.Repeat != RepeatNever {
		delay = defaultDelay
	}
	detail := e.Detail()
	detail.RetryAfterSeconds = ceilSeconds(delay)
	return Response{Status: info.HTTP, Body: Body{Error: detail}}
}

// ceilSeconds rounds up, so that a client never retries too early.
func ceilSeconds(delay time.Duration) int64 {
	return int64((delay + time.Second - 1) / time.Second)
}

// SetRetryAfter sets the Retry-After header (RFC 9110, section 10.2.3) unless
// the retry delay is zero.
func (a Response) SetRetryAfter(header http.Header) {
	if seconds := a.Body.Error.RetryAfterSeconds; seconds > 0 {
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
}

// Err converts a detail that a client received back into an error.
func (d Detail) Err() *Error {
	return &Error{
		Code:       d.Code,
		Message:    d.Message,
		RetryAfter: time.Duration(d.RetryAfterSeconds) * time.Second,
	}
}
