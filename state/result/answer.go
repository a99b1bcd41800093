package result

import (
	"net/http"
	"strconv"
	"time"
)

// Answer is the HTTP answer that tells a caller or an operator of an error. Who
// writes it chooses the encoding of its body and the headers beside it.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Body is the JSON body.
	Body Body
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
	// RetryAfterSeconds equals the header Retry-After; zero where none is set. A
	// stream has no header for it once it has begun.
	RetryAfterSeconds int64 `json:"retry_after_seconds,omitempty"`
}

// Detail describes the error without a pause before another try.
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

// Answer returns the HTTP answer for the error. It asks for the error's pause
// before another try, or for the usual one where the error has none and its code
// allows another try; a usual pause of zero asks for none.
func (e *Error) Answer(usualPause time.Duration) Answer {
	info := e.Code.Info()
	pause := e.RetryAfter
	if pause <= 0 && info.Repeat != RepeatNever {
		pause = usualPause
	}
	detail := e.Detail()
	detail.RetryAfterSeconds = wholeSeconds(pause)
	return Answer{Status: info.HTTP, Body: Body{Error: detail}}
}

// wholeSeconds rounds up, so that a caller never returns too early.
func wholeSeconds(pause time.Duration) int64 {
	return int64((pause + time.Second - 1) / time.Second)
}

// SetRetryAfter sets the header Retry-After (RFC 9110, section 10.2.3) unless
// the answer asks for no pause.
func (a Answer) SetRetryAfter(header http.Header) {
	if seconds := a.Body.Error.RetryAfterSeconds; seconds > 0 {
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
}

// Err returns the error that the detail describes, as a client of this program
// reads it.
func (d Detail) Err() *Error {
	return &Error{
		Code:       d.Code,
		Message:    d.Message,
		RetryAfter: time.Duration(d.RetryAfterSeconds) * time.Second,
	}
}
