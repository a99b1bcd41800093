package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/state/result"
)

// The rest of a body that isn't needed any more is read before the answer is sent, so that
// the connection can be kept: most bodies arrive together with their heads. Chosen, not
// measured.
const (
	// discardTimeout bounds how long the answer waits for it.
	discardTimeout = 20 * time.Millisecond
	// maxDiscardedBytes bounds how much of it is read, in bytes.
	maxDiscardedBytes = 256 << 10
)

// discardBody reads what is left of the body, or has the answer close the connection.
// Without either the server would wait for the rest of the body before it sends the
// answer, as long as a slow client likes.
func (c *call) discardBody(answer http.Header) {
	if c.input.bodyRead || c.request.Body == nil || c.request.Body == http.NoBody {
		return
	}
	c.input.bodyRead = true
	controller := http.NewResponseController(c.writer)
	// Only writers of tests have no deadlines; their bodies are there at once.
	_ = controller.SetReadDeadline(c.handler.options.Now().Add(discardTimeout))
	if _, err := io.CopyN(io.Discard, c.request.Body, maxDiscardedBytes); err != io.EOF {
		answer.Set("Connection", "close")
		return
	}
	_ = controller.SetReadDeadline(time.Time{})
}

// readBody reads the whole body, so that it can be sent more than once and no back end
// has to wait for a slow client.
func (c *call) readBody(limits routetable.Limits) *result.Error {
	if c.request.Body == nil || c.request.Body == http.NoBody {
		return nil
	}
	if limits.BodyBytes > 0 && c.request.ContentLength > limits.BodyBytes {
		return result.Errorf(result.TooLarge, "the limit is %d bytes", limits.BodyBytes)
	}
	c.input.bodyRead = true
	controller := http.NewResponseController(c.writer)
	_ = controller.SetReadDeadline(c.timing.deadline)
	reader := c.request.Body
	if limits.BodyBytes > 0 {
		reader = http.MaxBytesReader(c.writer, reader, limits.BodyBytes)
	}
	body, err := io.ReadAll(reader)
	_ = controller.SetReadDeadline(time.Time{})
	c.input.body = body
	return bodyFailure(err, limits)
}

// bodyFailure says why the body can't be used; nil where it can.
func bodyFailure(err error, limits routetable.Limits) *result.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return result.Errorf(result.TooLarge, "the limit is %d bytes", limits.BodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return slowBody.errorf("the body wasn't whole in time")
	}
	return result.Errorf(result.BadRequest, "the body can't be read: %v", err)
}
