package relay

import (
	"context"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/marblering/marblering/transport/upstream"
)

const (
	// maxBufferedBytes is the largest response that is buffered before its header is passed
	// on, so that another backend can be tried if the connection breaks.
	maxBufferedBytes = 256 << 10
	// maxDrainedBytes is how much of a discarded response is read, so that its connection
	// can be reused.
	maxDrainedBytes = 16 << 10
	// lateWriteTimeout is how long after the deadline of a request a write may wait for a
	// client that doesn't read.
	lateWriteTimeout = time.Second
)

// eventStream is the media type of streams (WHATWG HTML, section 9.2.4).
const eventStream = "text/event-stream"

// deliver passes a response on to the client.
func (c *call) deliver(ctx context.Context, backendResponse *upstream.Response, current *attempt) (outcome, error) {
	defer backendResponse.CloseBody()
	current.framing = backendResponse.Framing
	backendResponse.EndSettle = c.requiredSettle(current)
	if isEventStream(backendResponse) {
		return c.deliverEvents(ctx, backendResponse, current)
	}
	if c.response.headerWritten && backendResponse.Status == http.StatusNoContent {
		return c.endStream(ctx, backendResponse, nil) // nothing follows
	}
	if c.response.headerWritten || c.isResumption() && isContent(backendResponse.Status) {
		return incomplete, errNotResumed
	}
	if c.grants.turn != nil && isContent(backendResponse.Status) {
		return incomplete, errInvalidResponse // its events couldn't be counted and stored
	}
	return c.deliverBuffered(backendResponse, current)
}

func isEventStream(backendResponse *upstream.Response) bool {
	mediaType, _, err := mime.ParseMediaType(backendResponse.Header.Get("Content-Type"))
	return err == nil && mediaType == eventStream && backendResponse.Status == http.StatusOK
}

// isContent reports whether a response with the status has what was asked for.
func isContent(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices && status != http.StatusNoContent
}

// deliverBuffered passes on a response that isn't a stream once it has arrived completely,
// or hands it to deliverLarge if it is too large to buffer.
func (c *call) deliverBuffered(backendResponse *upstream.Response, current *attempt) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(backendResponse, maxBufferedBytes+1))
	if err != nil {
		return incomplete, err
	}
	current.status = backendResponse.Status
	current.recordProgress(c.handler.options.Now())
	if len(body) > maxBufferedBytes {
		return c.deliverLarge(backendResponse, body)
	}
	copyResponseHeader(c.writer.Header(), backendResponse.Header)
	if c.request.Method != http.MethodHead && mayHaveBody(backendResponse.Status) {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.writeHeader(backendResponse.Status)
	_, _ = c.writer.Write(body)
	return delivered, nil
}

// mayHaveBody tells whether responses with the status may have a body (RFC 9110, sections
// 15.3.5 and 15.4.5).
func mayHaveBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// deliverLarge streams a response that is too large to buffer. If the backend's connection
// breaks, the client's is closed as well.
func (c *call) deliverLarge(backendResponse *upstream.Response, first []byte) (outcome, error) {
	copyResponseHeader(c.writer.Header(), backendResponse.Header)
	if length := backendResponse.Header.Get("Content-Length"); length != "" {
		c.writer.Header().Set("Content-Length", length)
	}
	c.writeHeader(backendResponse.Status)
	if _, err := c.writer.Write(first); err != nil {
		return abandoned, err
	}
	if _, err := io.Copy(c.writer, backendResponse); err != nil {
		return incomplete, err
	}
	return delivered, nil
}

// deliverEvents passes on complete events and comments as they arrive. The header and the
// comments before the first event are written with it, so that another backend can be tried
// if the stream breaks before it.
func (c *call) deliverEvents(ctx context.Context, backendResponse *upstream.Response, current *attempt) (outcome, error) {
	events := newEventReader(backendResponse)
	events.first = firstEventLimit{response: backendResponse, now: c.handler.options.Now}
	stream := eventWriter{call: c, response: backendResponse, attempt: current, controller: http.NewResponseController(c.writer)}
	for {
		backendResponse.EndSettle = c.requiredSettle(current)
		next, err := events.next()
		if err == io.EOF {
			if ended, err := stream.end(ctx); err != nil {
				return ended, c.streamError(err)
			}
			if ended, err := c.checkStreamEnd(current); err != nil {
				return ended, err
			}
			return c.endStream(ctx, backendResponse, stream.comments.held)
		}
		if err != nil {
			return incomplete, c.streamError(err)
		}
		if backendResponse.Framing == upstream.FramingConnection && next.hasHead() {
			return incomplete, c.streamError(errSecondResponse)
		}
		current.hasReceived = true
		var ended outcome
		if next.hasField {
			current.recordProgress(c.handler.options.Now())
			ended, err = stream.deliver(ctx, next)
		} else {
			current.assignment.RecordActivity()
			ended, err = stream.deliverComment(next)
		}
		if err != nil {
			return ended, c.streamError(err)
		}
	}
}

// streamError returns the error for what ended a stream. It wraps errNoEventID if the stream can't
// be continued: another instance would begin it anew, after the events that the client has.
func (c *call) streamError(cause error) error {
	if c.response.headerWritten && c.response.order.lastID == "" {
		return fmt.Errorf("%w: %w", errNoEventID, cause)
	}
	return cause
}

// endStream stores the turn, if there is one, and writes the header and the held comments of a
// stream without events. If the turn can't be stored, the stream must not end normally.
func (c *call) endStream(ctx context.Context, backendResponse *upstream.Response, held []byte) (outcome, error) {
	started := c.handler.options.Now()
	err := c.completeTurn(ctx)
	c.timing.storeTime = c.handler.options.Now().Sub(started)
	if err != nil {
		return turnNotStored, err
	}
	c.writeStreamHeader(backendResponse)
	// A write error means that the client is gone.
	_, _ = c.writer.Write(held)
	return delivered, nil
}

// writeStreamHeader writes the response header unless it is written: a resumed stream keeps
// the header of its first backend.
func (c *call) writeStreamHeader(backendResponse *upstream.Response) {
	if c.response.headerWritten {
		return
	}
	copyResponseHeader(c.writer.Header(), backendResponse.Header)
	c.writeHeader(backendResponse.Status)
}

// writeHeader writes the response header and bounds all writes of the response. It closes the
// connection after the response if the gateway is unready.
func (c *call) writeHeader(status int) {
	c.response.headerWritten = true
	c.response.status = status
	c.timing.firstByte = c.handler.options.Now().Sub(c.timing.arrived)
	if c.handler.options.IsUnready() {
		c.writer.Header().Set("Connection", "close")
	}
	c.limitWrites()
	c.writer.WriteHeader(status)
}

// limitWrites ends writes to a client that doesn't read, so that its request doesn't stay in
// flight. Bytes that the system has taken over are still sent.
func (c *call) limitWrites() {
	if isStopped(c.ctx) {
		return // its writes have a bound already
	}
	last := c.handler.options.Now()
	if c.timing.deadline.After(last) {
		last = c.timing.deadline
	}
	// Only response writers of tests don't support deadlines.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(last.Add(lateWriteTimeout))
}

// drain discards a short response, so that its connection can be reused if it doesn't end with it.
func drain(backendResponse *upstream.Response) {
	if backendResponse.Framing != upstream.FramingConnection {
		_, _ = io.CopyN(io.Discard, backendResponse, maxDrainedBytes)
	}
	backendResponse.CloseBody()
}
