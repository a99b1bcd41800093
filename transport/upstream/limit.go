package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	// maxHeadBytes limits the status line and the headers of a response, together with
	// those of the interim responses (1xx) before it.
	maxHeadBytes = 64 << 10
	// maxHeadTime limits the time from the first byte of a head to its last one.
	maxHeadTime = time.Second
	// maxInterimResponses limits the interim responses to one request.
	maxInterimResponses = 32
)

// Limit names a limit on what is read from a backend.
type Limit string

// Limits on the head of a response, and on its body.
const (
	LimitHeadBytes        Limit = "head_bytes"
	LimitHeadTime         Limit = "head_time"
	LimitInterimResponses Limit = "interim_responses"
	LimitBodyBytes        Limit = "body_bytes"
)

// LimitError is the cause of an exchange in which the backend exceeded a limit. What it
// sent isn't a response.
type LimitError struct {
	Limit Limit
	// Bytes is what was read from the backend up to then.
	Bytes int
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the answer exceeds the limit %s after %d bytes", e.Limit, e.Bytes)
}

// headLimit limits the bytes that a connection reads while the head of a response is
// incomplete. It is used by one exchange at a time.
type headLimit struct {
	inForce bool
	read    int
}

// begin puts the limit in force for a response of which the connection holds the buffered
// bytes.
func (l *headLimit) begin(buffered int) { l.inForce, l.read = true, buffered }

func (l *headLimit) end() { l.inForce = false }

// left returns the part of the buffer that may be filled, or an error if the limit is
// reached.
func (l *headLimit) left(buffer []byte) ([]byte, error) {
	if !l.inForce {
		return buffer, nil
	}
	if l.read >= maxHeadBytes {
		return nil, &LimitError{Limit: LimitHeadBytes, Bytes: l.read}
	}
	return buffer[:min(len(buffer), maxHeadBytes-l.read)], nil
}

// limitHeadTime limits the time until the rest of a head is read whose first byte has
// arrived. It returns false if the whole head has, or if the exchange ends before that time.
func (e *exchange) limitHeadTime() bool {
	// An error is left to the reader of the head.
	if _, err := e.connection.reader.Peek(1); err != nil || e.isHeadBuffered() {
		return false
	}
	limit := time.Now().Add(maxHeadTime)
	if !e.deadline.IsZero() && e.deadline.Before(limit) {
		return false
	}
	_ = e.connection.socket.SetReadDeadline(limit)
	return true
}

// isHeadBuffered reports whether the empty line that ends a head is buffered.
func (e *exchange) isHeadBuffered() bool {
	buffered, _ := e.connection.reader.Peek(e.connection.reader.Buffered())
	return bytes.Contains(buffered, []byte("\r\n\r\n")) || bytes.Contains(buffered, []byte("\n\n"))
}

// endHeadTime ends the limit of limitHeadTime, and returns the error for what ended the read
// of the head.
func (e *exchange) endHeadTime(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &LimitError{Limit: LimitHeadTime, Bytes: e.connection.head.read}
	}
	_ = e.connection.socket.SetReadDeadline(e.deadline)
	return err
}

// bodyLimit limits the bytes of a body that are passed on.
type bodyLimit struct {
	max, read int64
}

// isExceededBy reports whether a body of the length, negative if unknown, exceeds the limit.
func (l *bodyLimit) isExceededBy(length int64) bool { return l.max > 0 && length > l.max }

// add counts bytes that were read. It returns how many of them the limit allows, and an error if
// these are fewer.
func (l *bodyLimit) add(count int) (allowed int, err error) {
	l.read += int64(count)
	if !l.isExceededBy(l.read) {
		return count, nil
	}
	excess := l.read - l.max
	return count - int(min(excess, int64(count))), &LimitError{Limit: LimitBodyBytes, Bytes: int(l.read)}
}
