package engine

import (
	"sync"
	"time"

	"github.com/marblering/marblering/protocol/engineapi"
)

// stream is the answer of one request while it is produced. Readers follow it
// from any chunk, so that a broken connection can be resumed. Chunk number N is
// the token with that number.
type stream struct {
	id      string
	model   string
	hold    string
	created time.Time
	faults  Faults
	// ledgerNumber is the request's entry in the ledger.
	ledgerNumber uint64
	// text is the whole answer and whether max_tokens cut it.
	text string
	cut  bool

	mutex  sync.Mutex
	status progress
	// changed is closed and replaced at every change.
	changed chan struct{}
}

// progress is how far an answer has come.
type progress struct {
	chunks       int
	finishReason string
	failure      string
	usage        engineapi.ChatUsage
}

func (p progress) ended() bool {
	return p.finishReason != "" || p.failure != ""
}

// advance records progress and wakes the readers.
func (s *stream) advance(status progress) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.status = status
	close(s.changed)
	s.changed = make(chan struct{})
}

// now returns the progress and a channel that is closed at the next change.
func (s *stream) now() (progress, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.status, s.changed
}

// chunkText returns the text of a chunk.
func (s *stream) chunkText(number int) string {
	start := number * bytesPerToken
	return s.text[start:min(start+bytesPerToken, len(s.text))]
}
