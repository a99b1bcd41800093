package relay

import (
	"bufio"
	"bytes"
	"time"

	"github.com/marblering/marblering/transport/upstream"
)

const (
	// firstEventTime limits the time from the first byte of a stream's first event, or of a line of a
	// comment before it, to the last one, for each firstEventBytes of it that have begun.
	firstEventTime  = time.Second
	firstEventBytes = 64 << 10
)

// firstEventLimit limits the time in which the first event of a stream arrives once it has begun: it
// is written at once, and until it is whole the request can be sent to another instance. Lines of
// comments that are whole are signs of life, after which the event may come at any time.
type firstEventLimit struct {
	// response is nil for no limit.
	response *upstream.Response
	now      func() time.Time
	// began is when the first byte was seen of what is read; zero before it, and while nothing
	// limits the time.
	began time.Time
	// bytes counts what has been read of it.
	bytes int
	// isOver is set once the first event is whole.
	isOver bool
}

// beginLine waits for the next line, and limits its time unless the event is buffered.
func (l *firstEventLimit) beginLine(reader *bufio.Reader) error {
	if l.response == nil || l.isOver || !l.began.IsZero() {
		return nil
	}
	if _, err := reader.Peek(1); err != nil {
		return err
	}
	buffered, _ := reader.Peek(reader.Buffered())
	if bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\r\n\r\n")) {
		return nil
	}
	l.began, l.bytes = l.now(), 0
	l.limit()
	return nil
}

// extend counts bytes of the line and adds the time that they take.
func (l *firstEventLimit) extend(read int) {
	if l.began.IsZero() {
		return
	}
	before := l.bytes / firstEventBytes
	l.bytes += read
	if l.bytes/firstEventBytes > before {
		l.limit()
	}
}

func (l *firstEventLimit) limit() {
	begun := l.bytes/firstEventBytes + 1
	l.response.LimitTime(l.began.Add(time.Duration(begun)*firstEventTime), limitEventTime)
}

// endLine ends the limit after a whole line, unless an event has begun.
func (l *firstEventLimit) endLine(current event) {
	if !current.hasField {
		l.end()
	}
}

// endEvent ends the limit after a whole event, or comments that stand alone.
func (l *firstEventLimit) endEvent(whole event) {
	l.end()
	l.isOver = whole.hasField
}

func (l *firstEventLimit) end() {
	if l.began.IsZero() {
		return
	}
	l.began = time.Time{}
	l.response.EndTimeLimit()
}
