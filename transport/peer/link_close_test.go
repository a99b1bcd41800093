package peer

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// TestAnswerBeforeClosedLinkIsReturned guards against a call that reports a lost connection
// although its answer has arrived before the link closed, such as a reservation that a
// stopping storage node has granted.
func TestAnswerBeforeClosedLinkIsReturned(t *testing.T) {
	for range 64 {
		l := &link{
			cancel: func() {}, wake: make(chan struct{}, 1), done: make(chan struct{}),
			pending: make(map[uint64]chan *peerv1.Answer),
		}
		call := &peerv1.Call{}
		answered, err := l.enqueue(call)
		assert.NilError(t, err)
		l.deliver(&peerv1.Answer{Number: call.GetNumber()})
		l.closeWithError(errors.New("the peer stops"))
		answer, err := l.await(t.Context(), call.GetNumber(), answered)
		assert.NilError(t, err)
		assert.Equal(t, answer.GetNumber(), call.GetNumber())
	}
}

// TestAnswerBeforeEndOfContextIsReturned guards against a call whose answer is dropped
// because its context ended before the caller looked.
func TestAnswerBeforeEndOfContextIsReturned(t *testing.T) {
	for range 64 {
		l := &link{
			cancel: func() {}, wake: make(chan struct{}, 1), done: make(chan struct{}),
			pending: make(map[uint64]chan *peerv1.Answer),
		}
		ctx, cancel := context.WithCancel(t.Context())
		call := &peerv1.Call{}
		answered, err := l.enqueue(call)
		assert.NilError(t, err)
		l.deliver(&peerv1.Answer{Number: call.GetNumber()})
		cancel()
		answer, err := l.await(ctx, call.GetNumber(), answered)
		assert.NilError(t, err)
		assert.Equal(t, answer.GetNumber(), call.GetNumber())
	}
}
