package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/marblering/marblering/transport/upstream"
)

const (
	// bufferedAnswer is the largest answer that is read whole before its head
	// is passed on, so that one that breaks can still be replaced.
	bufferedAnswer = 256 << 10
	// drainedAnswer is how much of an unwanted answer is read to keep its
	// connection.
	drainedAnswer = 16 << 10
	eventStream   = "text/event-stream"
)

// deliver passes a proper answer on.
func (c *call) deliver(ctx context.Context, answer *upstream.Answer, attempt *trial) (outcome, error) {
	defer answer.CloseBody()
	if isEventStream(answer) {
		return c.deliverEvents(ctx, answer, attempt)
	}
	if c.reply.began {
		return lost, errNotResumed
	}
	return c.deliverWhole(answer, attempt)
}

var (
	errNotResumed = errors.New("the stream wasn't resumed")
	errCutEvent   = errors.New("the stream ended within an event")
)

func isEventStream(answer *upstream.Answer) bool {
	kind, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return err == nil && kind == eventStream && answer.Status == http.StatusOK
}

// deliverWhole passes a plain answer on once all of it has arrived.
func (c *call) deliverWhole(answer *upstream.Answer, attempt *trial) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(answer, bufferedAnswer+1))
	if err != nil {
		return lost, err
	}
	attempt.status = answer.Status
	attempt.heard(c.handler.options.Now())
	if len(body) > bufferedAnswer {
		return c.deliverLarge(answer, body)
	}
	setAnswerHeader(c.writer.Header(), answer.Header)
	if c.request.Method != http.MethodHead && mayHaveBody(answer.Status) {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.begin(answer.Status)
	_, _ = c.writer.Write(body)
	return delivered, nil
}

// mayHaveBody follows RFC 9110, sections 15.3.5 and 15.4.5.
func mayHaveBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// deliverLarge passes a long answer on as it comes. If it breaks, the caller's
// connection breaks as well.
func (c *call) deliverLarge(answer *upstream.Answer, first []byte) (outcome, error) {
	setAnswerHeader(c.writer.Header(), answer.Header)
	if length := answer.Header.Get("Content-Length"); length != "" {
		c.writer.Header().Set("Content-Length", length)
	}
	c.begin(answer.Status)
	if _, err := c.writer.Write(first); err != nil {
		return abandoned, err
	}
	if _, err := io.Copy(c.writer, answer); err != nil {
		return lost, err
	}
	return delivered, nil
}

// deliverEvents passes whole events on as they come. The head follows with the
// first of them, so that a stream that breaks before can still be replaced.
func (c *call) deliverEvents(ctx context.Context, answer *upstream.Answer, attempt *trial) (outcome, error) {
	events := newEventReader(answer)
	controller := http.NewResponseController(c.writer)
	for {
		event, err := events.next()
		if err == io.EOF {
			return c.endStream(ctx, answer)
		}
		if err != nil {
			return lost, err
		}
		attempt.heard(c.handler.options.Now())
		if event.isOld(c.reply.lastEvent) {
			continue
		}
		c.beginStream(answer)
		c.countEvent(event)
		if _, err := c.writer.Write(event.raw); err != nil {
			return abandoned, err
		}
		if err := controller.Flush(); err != nil {
			return abandoned, err
		}
		if event.id != "" {
			c.reply.lastEvent = event.id
		}
	}
}

// endStream stores the turn, if it is one, and also passes the head of a stream
// without events on. A turn that can't be stored doesn't end as whole.
func (c *call) endStream(ctx context.Context, answer *upstream.Answer) (outcome, error) {
	began := c.handler.options.Now()
	err := c.completeTurn(ctx)
	c.times.stored = c.handler.options.Now().Sub(began)
	if err != nil {
		return unstored, err
	}
	c.beginStream(answer)
	return delivered, nil
}

// beginStream writes the head once: a resumed stream keeps that of its first
// back end.
func (c *call) beginStream(answer *upstream.Answer) {
	if c.reply.began {
		return
	}
	setAnswerHeader(c.writer.Header(), answer.Header)
	c.begin(answer.Status)
}

func (c *call) begin(status int) {
	c.reply.began = true
	c.reply.status = status
	c.times.firstByte = c.handler.options.Now().Sub(c.times.arrived)
	if c.handler.options.Unready() {
		c.writer.Header().Set("Connection", "close")
	}
	c.writer.WriteHeader(status)
}

// drain reads a short answer to its end, so that its connection can be kept.
func drain(answer *upstream.Answer) {
	_, _ = io.CopyN(io.Discard, answer, drainedAnswer)
	answer.CloseBody()
}

// event is one event of a stream, with the empty line that ends it.
type event struct {
	raw []byte
	id  string
}

// isOld tells that the event was passed on before.
func (e event) isOld(last string) bool {
	if last == "" || e.id == "" {
		return false
	}
	number, err := strconv.ParseUint(e.id, 10, 64)
	if err != nil {
		return false
	}
	known, err := strconv.ParseUint(last, 10, 64)
	return err == nil && number <= known
}

// eventReader splits a stream into events without changing a byte.
type eventReader struct {
	reader *bufio.Reader
}

const (
	eventBufferBytes = 4 << 10
	maxEventBytes    = 1 << 20
)

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(source, eventBufferBytes)}
}

// next returns the next whole event. io.EOF means that the stream ended between
// two events.
func (r *eventReader) next() (event, error) {
	var current event
	for {
		line, err := r.reader.ReadSlice('\n')
		current.raw = append(current.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(current.raw) <= maxEventBytes {
			continue
		}
		if err == io.EOF && len(current.raw) > 0 {
			return event{}, errCutEvent
		}
		if err != nil {
			return event{}, err
		}
		if isBlank(line) {
			return current, nil
		}
		if id, found := eventID(line); found {
			current.id = id
		}
	}
}
