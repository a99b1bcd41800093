package relay

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/marblering/marblering/transport/upstream"
)

// Sizes of answers, in bytes. Chosen, not measured.
const (
	// maxBufferedBytes is the largest answer that is read whole before its head is passed
	// on, so that another back end can be tried if it breaks off.
	maxBufferedBytes = 256 << 10
	// maxDrainedBytes is how much of an unwanted answer is read so that its connection can
	// be used again.
	maxDrainedBytes = 16 << 10
)

// eventStream is the media type of streams (WHATWG HTML, section 9.2.4).
const eventStream = "text/event-stream"

// deliver passes a proper answer on to the client.
func (c *call) deliver(ctx context.Context, answer *upstream.Answer, current *attempt) (outcome, error) {
	defer answer.CloseBody()
	if isEventStream(answer) {
		return c.deliverEvents(ctx, answer, current)
	}
	if c.response.headerWritten {
		return incomplete, errNotResumed
	}
	return c.deliverBuffered(answer, current)
}

func isEventStream(answer *upstream.Answer) bool {
	kind, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return err == nil && kind == eventStream && answer.Status == http.StatusOK
}

// deliverBuffered passes on an answer that isn't a stream once all of it has arrived.
func (c *call) deliverBuffered(answer *upstream.Answer, current *attempt) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedBytes+1))
	if err != nil {
		return incomplete, err
	}
	current.status = answer.Status
	current.recordProgress(c.handler.options.Now())
	if len(body) > maxBufferedBytes {
		return c.deliverLarge(answer, body)
	}
	copyResponseHeader(c.writer.Header(), answer.Header)
	if c.request.Method != http.MethodHead && mayHaveBody(answer.Status) {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.writeHeader(answer.Status)
	_, _ = c.writer.Write(body)
	return delivered, nil
}

// mayHaveBody tells whether answers with the status have a body (RFC 9110, sections 15.3.5
// and 15.4.5).
func mayHaveBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// deliverLarge passes a long answer on as it comes. If it breaks off, the client's
// connection is broken as well.
func (c *call) deliverLarge(answer *upstream.Answer, first []byte) (outcome, error) {
	copyResponseHeader(c.writer.Header(), answer.Header)
	if length := answer.Header.Get("Content-Length"); length != "" {
		c.writer.Header().Set("Content-Length", length)
	}
	c.writeHeader(answer.Status)
	if _, err := c.writer.Write(first); err != nil {
		return abandoned, err
	}
	if _, err := io.Copy(c.writer, answer); err != nil {
		return incomplete, err
	}
	return delivered, nil
}

// deliverEvents passes whole events on as they come. The head is passed on with the first
// of them, so that another back end can be tried if the stream breaks off before.
func (c *call) deliverEvents(ctx context.Context, answer *upstream.Answer, current *attempt) (outcome, error) {
	events := newEventReader(answer)
	controller := http.NewResponseController(c.writer)
	for {
		event, err := events.next()
		if err == io.EOF {
			return c.endStream(ctx, answer)
		}
		if err != nil {
			return incomplete, err
		}
		current.recordProgress(c.handler.options.Now())
		if event.isAlreadySent(c.response.lastEventID) {
			continue
		}
		c.writeStreamHeader(answer)
		c.countEvent(event)
		if _, err := c.writer.Write(event.raw); err != nil {
			return abandoned, err
		}
		if err := controller.Flush(); err != nil {
			return abandoned, err
		}
		if event.id != "" {
			c.response.lastEventID = event.id
		}
	}
}

// endStream stores the turn, if the request is one, and passes on the head of a stream
// without events. A stream whose turn can't be stored isn't ended as a whole one.
func (c *call) endStream(ctx context.Context, answer *upstream.Answer) (outcome, error) {
	began := c.handler.options.Now()
	err := c.completeTurn(ctx)
	c.timing.storeTime = c.handler.options.Now().Sub(began)
	if err != nil {
		return turnNotStored, err
	}
	c.writeStreamHeader(answer)
	return delivered, nil
}

// writeStreamHeader writes the head once: a resumed stream keeps the head of its first back
// end.
func (c *call) writeStreamHeader(answer *upstream.Answer) {
	if c.response.headerWritten {
		return
	}
	copyResponseHeader(c.writer.Header(), answer.Header)
	c.writeHeader(answer.Status)
}

// writeHeader writes the head of the answer.
func (c *call) writeHeader(status int) {
	c.response.headerWritten = true
	c.response.status = status
	c.timing.firstByte = c.handler.options.Now().Sub(c.timing.arrived)
	if c.handler.options.Unready() {
		c.writer.Header().Set("Connection", "close")
	}
	c.writer.WriteHeader(status)
}

// drain reads a short answer to its end, so that its connection can be used again.
func drain(answer *upstream.Answer) {
	_, _ = io.CopyN(io.Discard, answer, maxDrainedBytes)
	answer.CloseBody()
}
