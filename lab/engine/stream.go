package engine

import (
	"sync"
	"time"

	"github.com/marblering/marblering/protocol/engineapi"
)

// stream is the answer of one request while it is produced. Readers follow it
// from any chunk, so that a broken connection can be resumed.
type stream struct {
	id      string
	model   string
	created time.Time
	// ledgerNumber is the request's entry in the ledger.
	ledgerNumber uint64
	text         string

	mutex        sync.Mutex
	chunks       []string
	finishReason string
	failure      string
	usage        engineapi.ChatUsage
	// changed is closed and replaced at every change.
	changed chan struct{}
}

func newStream(id, model, text string, created time.Time) *stream {
	return &stream{id: id, model: model, text: text, created: created, changed: make(chan struct{})}
}

// change applies a change and wakes the readers.
func (s *stream) change(apply func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	apply()
	close(s.changed)
	s.changed = make(chan struct{})
}

// view is what a reader sees of a stream.
type view struct {
	chunks       []string
	finishReason string
	failure      string
	usage        engineapi.ChatUsage
	changed      <-chan struct{}
}

func (v view) ended() bool {
	return v.finishReason != "" || v.failure != ""
}

// from returns the chunks from a number on.
func (s *stream) from(number int) view {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	number = min(number, len(s.chunks))
	return view{
		chunks:       s.chunks[number:len(s.chunks):len(s.chunks)],
		finishReason: s.finishReason,
		failure:      s.failure,
		usage:        s.usage,
		changed:      s.changed,
	}
}
