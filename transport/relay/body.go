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

const (
	// leftBodyTime is how long an answer waits for the rest of a body that nobody needs
	// any more, so that its connection can be kept: bodies mostly come along with
	// their heads.
	leftBodyTime = 20 * time.Millisecond
	// maxLeftBody is how much of it is read.
	maxLeftBody = 256 << 10
)

// leaveBody has an answer sent though the body isn't needed. The server would wait for
// the rest of the body first, which a slow client may hold back for as long as it
// likes, unless the answer ends the connection.
func (c *call) leaveBody(answer http.Header) {
	if c.asked.bodyTaken || c.request.Body == nil || c.request.Body == http.NoBody {
		return
	}
	c.asked.bodyTaken = true
	controller := http.NewResponseController(c.writer)
	// A writer without deadlines is one of a test, whose bodies are there at once.
	_ = controller.SetReadDeadline(c.handler.options.Now().Add(leftBodyTime))
	if _, err := io.CopyN(io.Discard, c.request.Body, maxLeftBody); err != io.EOF {
		answer.Set("Connection", "close")
		return
	}
	_ = controller.SetReadDeadline(time.Time{})
}

// readBody reads the whole body, so that it can be sent more than once and no
// back end waits for a slow client.
func (c *call) readBody(limits routetable.Limits) *result.Error {
	if c.request.Body == nil || c.request.Body == http.NoBody {
		return nil
	}
	if limits.BodyBytes > 0 && c.request.ContentLength > limits.BodyBytes {
		return result.Errorf(result.TooLarge, "the limit is %d bytes", limits.BodyBytes)
	}
	c.asked.bodyTaken = true
	controller := http.NewResponseController(c.writer)
	_ = controller.SetReadDeadline(c.times.deadline)
	reader := c.request.Body
	if limits.BodyBytes > 0 {
		reader = http.MaxBytesReader(c.writer, reader, limits.BodyBytes)
	}
	body, err := io.ReadAll(reader)
	_ = controller.SetReadDeadline(time.Time{})
	c.asked.body = body
	return bodyFailure(err, limits)
}

func bodyFailure(err error, limits routetable.Limits) *result.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return result.Errorf(result.TooLarge, "the limit is %d bytes", limits.BodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return slowBody.refusal("the body wasn't whole in time")
	}
	return result.Errorf(result.BadRequest, "the body can't be read: %v", err)
}
