package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/marblering/marblering/coordination/numbering"
	"github.com/marblering/marblering/transport/upstream"
)

// event is a server-sent event, including the empty line that ends it.
type event struct {
	raw []byte
	// id is empty without an id field, which hasID tells apart from an empty one.
	id    string
	hasID bool
	// number is the id if that is a number, else empty.
	number numbering.Number
	// hasField is set unless all lines are comments, hasData if there is a data field. Clients
	// count nothing else as an event.
	hasField, hasData bool
}

// isCounted reports whether the block has a place in the order of events: its id or its data.
func (e event) isCounted() bool { return e.id != "" || e.hasData }

// hasHead reports whether the head of a response stands in the block, which may begin with an event that
// was cut off within a line.
func (e event) hasHead() bool {
	start := upstream.IndexStatusLine(e.raw)
	if start < 0 {
		return false
	}
	if start == 0 || e.raw[start-1] == '\n' {
		return true
	}
	_, after, _ := bytes.Cut(e.raw[start:], []byte("\n"))
	line, _, _ := bytes.Cut(after, []byte("\n"))
	name, _, isHeader := bytes.Cut(line, []byte(":"))
	return isHeader && !isFieldName(string(name))
}

// isFieldName reports whether lines of event streams begin so (WHATWG HTML, section 9.2.6): a comment or a
// field.
func isFieldName(name string) bool {
	switch name {
	case "", "data", "event", "id", "retry":
		return true
	}
	return false
}

// eventReader splits a stream into events without changing any bytes.
type eventReader struct {
	reader *bufio.Reader
	// first limits the time of the first event.
	first firstEventLimit
}

const (
	eventBufferBytes = 4 << 10
	maxEventBytes    = 1 << 20
)

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(source, eventBufferBytes)}
}

// next returns the next complete event. The error is io.EOF if the stream ended between two
// events, errTruncatedEvent if it ended within one, errJoinedEvents if it lacks the end of one,
// and wraps an *upstream.LimitError if the event has more than maxEventBytes.
func (r *eventReader) next() (event, error) {
	var current event
	for {
		start := len(current.raw)
		err := r.first.beginLine(r.reader)
		if err == nil {
			err = r.readLine(&current)
		}
		if err == io.EOF && len(current.raw) > 0 {
			return event{}, errTruncatedEvent
		}
		if err != nil {
			return event{}, err
		}
		line := current.raw[start:]
		if isBlank(line) {
			r.first.endEvent(current)
			return current, nil
		}
		if id, found := eventID(line); found {
			if current.hasID {
				return event{}, errJoinedEvents
			}
			current.id, current.hasID = id, true
			current.number, _ = numbering.Parse(id)
		}
		current.hasField = current.hasField || line[0] != ':'
		current.hasData = current.hasData || bytes.HasPrefix(line, []byte("data"))
		r.first.endLine(current)
	}
}

// readLine adds the next line to the event.
func (r *eventReader) readLine(to *event) error {
	for {
		part, err := r.reader.ReadSlice('\n')
		to.raw = append(to.raw, part...)
		r.first.extend(len(part))
		if len(to.raw) > maxEventBytes {
			exceeded := &upstream.LimitError{Limit: limitEventBytes, Bytes: len(to.raw)}
			return fmt.Errorf("an event is larger than %d bytes: %w", maxEventBytes, exceeded)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// data returns the content of the event's data fields, joined by line feeds
// (WHATWG HTML, section 9.2.6).
func (e event) data() (data []byte, found bool) {
	for line := range bytes.Lines(e.raw) {
		value, isData := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data:"))
		if !isData {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		found = true
	}
	return data, found
}

// isBlank tells whether a line is empty and thus ends an event.
func isBlank(line []byte) bool {
	return string(line) == "\n" || string(line) == "\r\n"
}

// eventID returns the value of an id field (WHATWG HTML, section 9.2.6).
func eventID(line []byte) (id string, found bool) {
	value, found := strings.CutPrefix(string(line), "id:")
	if !found {
		return "", false
	}
	return strings.TrimSpace(value), true
}
