package callerapi

import (
	"net/http"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/state/result"
)

// Parts of server-sent events.
const (
	eventStart = "data: "
	eventError = "event: error\ndata: "
	eventEnd   = "\n\n"
	eventDone  = eventStart + StreamEnd + eventEnd
)

// chunkTextBytes bounds the text of one event: some client libraries take no
// line of more than 64 KiB, and JSON may double the size of a text.
const chunkTextBytes = 16 << 10

var (
	errConnectionLost = merry.Sentinel("the caller's connection is lost")
	errStreamClosed   = merry.Sentinel("the call is over; its stream takes no more text")
	errNotStarted     = merry.Sentinel("text came before the stream was started")
)

// stream sends an answer as server-sent events while it is produced. The
// header goes out with the first text, so that a call which fails before has
// its own HTTP status. The chunk that ends the answer goes out only from
// finish, when the answer is known to be stored.
type stream struct {
	exchange     *exchange
	includeUsage bool

	// mu guards against a service that still writes after Call has returned.
	mu     sync.Mutex
	closed bool
	// received is the text so far; the first sent bytes of it were passed on.
	received strings.Builder
	sent     int
	created  int64
	lost     error
}

var _ execution.Sink = (*stream)(nil)

func newStream(exchange *exchange, includeUsage bool) *stream {
	return &stream{exchange: exchange, includeUsage: includeUsage}
}

// Started implements [execution.Sink].
func (s *stream) Started(start execution.Start) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errStreamClosed
	}
	s.exchange.start = start
	return s.checkConnection()
}

// Text implements [execution.Sink].
func (s *stream) Text(text string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errStreamClosed
	}
	if s.exchange.start.Sequence == 0 {
		return errNotStarted
	}
	if text == "" {
		return s.checkConnection()
	}
	s.received.WriteString(text)
	// A character may be cut in two by the pieces; JSON can't carry a half.
	ready := completeRunes(s.received.String()[s.sent:])
	return s.sendText(ready)
}

// close refuses text that comes after the call is over.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// finish sends what is left of the whole answer and ends the stream.
func (s *stream) finish(answer execution.Answer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if !strings.HasPrefix(answer.Content, s.received.String()) {
		return merry.Errorf("the answer of call %d of program %q differs from the %d bytes passed on already",
			answer.Sequence, answer.Program, s.received.Len())
	}
	s.exchange.start = answer.Start
	if s.sendText(answer.Content[s.sent:]) != nil {
		return nil // the answer is stored for a repeat
	}
	reason := answer.FinishReason
	counted := newUsage(answer.Usage)
	last := s.newChunk(ChunkChoice{FinishReason: &reason})
	if !s.includeUsage {
		last.Usage = &counted
	}
	_ = s.sendChunk(last)
	if s.includeUsage {
		// The dialect has a chunk of its own for the usage that was asked for.
		ofUsage := s.newChunk()
		ofUsage.Usage = &counted
		_ = s.sendChunk(ofUsage)
	}
	s.exchange.writer.Header().Set(HeaderResult, resultNumber(result.OK))
	_ = s.send(eventDone)
	return nil
}

// fail ends a stream that has begun with an error event and without the mark
// of a whole answer.
func (s *stream) fail(body ErrorBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	encoded, err := encodeJSON(body)
	if err != nil {
		return
	}
	s.exchange.writer.Header().Set(HeaderResult, resultNumber(body.Error.Code))
	_ = s.send(eventError + string(encoded) + eventEnd)
}

// sendText passes text on, with the header before the first.
func (s *stream) sendText(text string) error {
	if err := s.begin(); err != nil {
		return err
	}
	for text != "" {
		part := text
		if len(part) > chunkTextBytes {
			part = completeRunes(part[:chunkTextBytes])
		}
		if err := s.sendChunk(s.newChunk(ChunkChoice{Delta: ChunkDelta{Content: &part}})); err != nil {
			return err
		}
		s.sent += len(part)
		text = text[len(part):]
	}
	return nil
}

// begin writes the header and the chunk that names the role.
func (s *stream) begin() error {
	if s.exchange.answered {
		return s.checkConnection()
	}
	s.exchange.noteFirstToken()
	s.exchange.answered = true
	s.exchange.setStartHeaders()
	header := s.exchange.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", HeaderResult)
	s.created = s.exchange.handler.options.Now().Unix()
	s.exchange.writer.WriteHeader(http.StatusOK)
	empty := ""
	return s.sendChunk(s.newChunk(ChunkChoice{Delta: ChunkDelta{Role: roleAssistant, Content: &empty}}))
}

func (s *stream) newChunk(choices ...ChunkChoice) Chunk {
	if choices == nil {
		choices = []ChunkChoice{}
	}
	return Chunk{
		ID:      completionID(s.exchange.start),
		Object:  objectChunk,
		Created: s.created,
		Model:   s.exchange.start.Model,
		Choices: choices,
	}
}

func (s *stream) sendChunk(part Chunk) error {
	encoded, err := encodeJSON(part)
	if err != nil {
		return merry.Prepend(err, "encoding a chunk")
	}
	return s.send(eventStart + string(encoded) + eventEnd)
}

// send writes and flushes an event. After the first failure it sends nothing
// more: a later part after a hole must not look like the next one.
func (s *stream) send(event string) error {
	if err := s.checkConnection(); err != nil {
		return err
	}
	s.exchange.extendWriteDeadline()
	if _, err := s.exchange.writer.Write([]byte(event)); err != nil {
		return s.lose(err)
	}
	if err := s.exchange.control.Flush(); err != nil {
		return s.lose(err)
	}
	return nil
}

func (s *stream) checkConnection() error {
	if s.lost != nil {
		return s.lost
	}
	if err := s.exchange.request.Context().Err(); err != nil {
		return s.lose(err)
	}
	return nil
}

func (s *stream) lose(cause error) error {
	s.lost = merry.Prependf(errConnectionLost, "%v", cause)
	s.exchange.lost = true
	return s.lost
}

// completeRunes returns the text without an incomplete character at its end.
func completeRunes(text string) string {
	for size := 1; size < utf8.UTFMax && size <= len(text); size++ {
		last := text[len(text)-size:]
		if utf8.RuneStart(last[0]) {
			if utf8.FullRuneInString(last) {
				return text
			}
			return text[:len(text)-size]
		}
	}
	return text
}
