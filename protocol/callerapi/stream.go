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

// chunkTextBytes bounds the text of one event. Some client libraries read no line
// longer than 64 KiB, and JSON may double the size of a text.
const chunkTextBytes = 16 << 10

var (
	errConnectionLost = merry.Sentinel("the caller's connection is lost")
	errStreamClosed   = merry.Sentinel("the call is over; its stream takes no more text")
	errNotStarted     = merry.Sentinel("text came before the stream was started")
)

// stream sends an answer as server-sent events while it is produced. The header
// goes out with the first text, so that a call which fails earlier has an HTTP
// status of its own. Only finish sends the chunk that ends the answer, when the
// answer is stored.
type stream struct {
	exchange     *exchange
	includeUsage bool

	// mu guards against a service that still writes after Call has returned.
	mu     sync.Mutex
	closed bool
	// received is the text so far.
	received strings.Builder
	// sent is how many bytes of received were passed on.
	sent int
	// created is when the stream began, in seconds since 1970.
	created int64
	// lost is why the caller's connection is lost; nil while it stands.
	lost error
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
	// The pieces may cut a character in two, and JSON can't carry a half.
	ready := completeRunes(s.received.String()[s.sent:])
	return s.sendText(ready)
}

// close refuses text that comes after the call is over.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// finish sends what is left of the whole answer and ends the stream. It fails
// where the text passed on differs from the answer.
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
		// Where usage was asked for, the dialect has a chunk without choices for it.
		usage := s.newChunk()
		usage.Usage = &counted
		_ = s.sendChunk(usage)
	}
	s.exchange.writer.Header().Set(HeaderResult, resultNumber(result.OK))
	_ = s.send(eventDone)
	return nil
}

// fail ends a stream that has begun: with an error event, and without the event
// that ends a whole answer.
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

// sendText passes text on, and sends the header before the first.
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

// begin writes the header and the chunk that names the role, unless it has.
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
	s.exchange.closeWhileDraining()
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
// more, so that a caller never takes a later part for the next one.
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
