package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/state/result"
)

// Limits for discarding an unread request body before the response, so that the connection
// can be reused. Most bodies arrive together with their headers.
const (
	discardTimeout    = 20 * time.Millisecond
	maxDiscardedBytes = 256 << 10
)

// discardBody reads the rest of the body or makes the response close the connection.
// Otherwise net/http would wait for the rest of the body before it sends the response, and
// a slow client could delay that without limit. If a read has failed, it closes the
// connection as well: net/http has ended the context of all its requests.
func (c *call) discardBody(response http.Header) {
	if lacksLength(c.request) {
		response.Set("Connection", "close")
		return
	}
	if c.input.bodyRead || c.request.Body == nil || c.request.Body == http.NoBody {
		return
	}
	c.input.bodyRead = true
	controller := http.NewResponseController(c.writer)
	// Only response writers of tests don't support deadlines.
	_ = controller.SetReadDeadline(c.handler.options.Now().Add(discardTimeout))
	_, err := io.CopyN(io.Discard, c.request.Body, maxDiscardedBytes)
	if err != io.EOF || c.request.Context().Err() != nil {
		response.Set("Connection", "close")
		return
	}
	_ = controller.SetReadDeadline(time.Time{})
}

// readBody buffers the whole body, so that it can be sent more than once and no backend
// waits for a slow client.
func (c *call) readBody(ctx context.Context, limits routetable.Limits) *result.Error {
	if lacksLength(c.request) {
		return result.Errorf(result.BadRequest, "a request of HTTP/1.0 with the method %s needs a Content-Length", c.request.Method)
	}
	if c.request.Body == nil || c.request.Body == http.NoBody {
		return nil
	}
	if limits.BodyBytes > 0 && c.request.ContentLength > limits.BodyBytes {
		return result.Errorf(result.TooLarge, "the limit is %d bytes", limits.BodyBytes)
	}
	controller := http.NewResponseController(c.writer)
	_ = controller.SetReadDeadline(c.timing.deadline)
	stopWatching := context.AfterFunc(ctx, func() { _ = controller.SetReadDeadline(c.handler.options.Now()) })
	defer stopWatching()
	reader := c.request.Body
	if limits.BodyBytes > 0 {
		reader = http.MaxBytesReader(c.writer, reader, limits.BodyBytes)
	}
	body, err := io.ReadAll(reader)
	if err != nil {
		return bodyFailure(err, limits)
	}
	_ = controller.SetReadDeadline(time.Time{})
	c.input.received, c.input.body, c.input.bodyRead = body, body, true
	return nil
}

// lacksLength reports whether a request may have a body whose length isn't known: one of HTTP/1.0
// needs a Content-Length (RFC 1945, section 7.2.2). net/http removes its Transfer-Encoding, which
// HTTP/1.0 doesn't know, and takes the body for empty.
func lacksLength(request *http.Request) bool {
	if request.ProtoAtLeast(1, 1) || request.Header.Get("Content-Length") != "" {
		return false
	}
	switch request.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// bodyFailure converts an error of reading the body.
func bodyFailure(err error, limits routetable.Limits) *result.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.Errorf(result.TooLarge, "the limit is %d bytes", limits.BodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return slowBody.errorf("the body wasn't whole in time")
	}
	return result.Errorf(result.BadRequest, "the body can't be read: %v", err)
}
