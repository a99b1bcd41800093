package peer

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
)

// batchBytes is where calls or answers that wait are no longer gathered into one
// message: what goes out together would hold up what follows, and a message has a
// largest size (maxMessageBytes).
const batchBytes = 256 << 10

// errConnectionLost means that nothing is known of the effect of the calls that were
// under way.
var errConnectionLost = merry.Sentinel("the connection to the peer was lost")

// link is one stream of calls to a peer. What waits while a message is written
// goes out with the next one. It is safe for concurrent use, and can't be used
// any more once done is closed.
type link struct {
	stream *connect.BidiStreamForClient[peerv1.Calls, peerv1.Answers]
	cancel context.CancelFunc
	// wake tells the sender that something waits.
	wake chan struct{}
	done chan struct{}

	mutex      sync.Mutex
	lastNumber uint64
	queued     []*peerv1.Call
	abandoned  []uint64
	// pending are the calls without an answer, by number; nil once the link is
	// lost.
	pending  map[uint64]chan *peerv1.Answer
	closeErr error
}

// newLink begins a stream. It fails later where the peer can't be reached.
func newLink(service peerv1connect.CallServiceClient) *link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{
		stream: service.Stream(ctx), cancel: cancel, wake: make(chan struct{}, 1), done: make(chan struct{}),
		pending: make(map[uint64]chan *peerv1.Answer),
	}
	go l.send()
	go l.receive()
	return l
}

// call sends the request and waits for its answer, until the context ends.
func (l *link) call(ctx context.Context, call *peerv1.Call) (*peerv1.Answer, error) {
	answered, err := l.enqueue(call)
	if err != nil {
		return nil, err
	}
	select {
	case answer := <-answered:
		return answer, nil
	case <-l.done:
		return nil, l.closeErr
	case <-ctx.Done():
		l.abandon(call.GetNumber())
		return nil, context.Cause(ctx)
	}
}

func (l *link) enqueue(call *peerv1.Call) (<-chan *peerv1.Answer, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.pending == nil {
		return nil, l.closeErr
	}
	if len(l.pending) >= maxInFlight {
		return nil, errTooManyRequests
	}
	l.lastNumber++
	call.Number = l.lastNumber
	answered := make(chan *peerv1.Answer, 1)
	l.pending[call.Number] = answered
	l.queued = append(l.queued, call)
	l.signal()
	return answered, nil
}

// abandon forgets a call. One that was sent is told to the peer, which may leave
// it undone.
func (l *link) abandon(number uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.pending, number)
	for i, call := range l.queued {
		if call.GetNumber() == number {
			l.queued = append(l.queued[:i], l.queued[i+1:]...)
			return
		}
	}
	l.abandoned = append(l.abandoned, number)
	l.signal()
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// send writes what waits, until the link is lost.
func (l *link) send() {
	for {
		select {
		case <-l.wake:
		case <-l.done:
			return
		}
		message := l.nextBatch()
		if message == nil {
			continue
		}
		if err := l.stream.Send(message); err != nil {
			l.closeWithError(err)
			return
		}
	}
}

func (l *link) nextBatch() *peerv1.Calls {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.queued) == 0 && len(l.abandoned) == 0 {
		return nil
	}
	size, count := 0, 0
	for count < len(l.queued) && size < batchBytes {
		size += proto.Size(l.queued[count])
		count++
	}
	message := &peerv1.Calls{Calls: l.queued[:count:count], Abandoned: l.abandoned}
	l.queued, l.abandoned = l.queued[count:], nil
	if len(l.queued) > 0 {
		l.signal()
	}
	return message
}

// receive hands answers to their callers, until the link is lost.
func (l *link) receive() {
	for {
		message, err := l.stream.Receive()
		if err != nil {
			l.closeWithError(err)
			return
		}
		for _, answer := range message.GetAnswers() {
			l.deliver(answer)
		}
	}
}

func (l *link) deliver(answer *peerv1.Answer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if answered, found := l.pending[answer.GetNumber()]; found {
		delete(l.pending, answer.GetNumber())
		answered <- answer
	}
}

// closeWithError ends the link: all calls that wait fail.
func (l *link) closeWithError(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.pending == nil {
		return
	}
	l.pending, l.queued = nil, nil
	l.closeErr = merry.Wrap(errConnectionLost, merry.WithCause(err), merry.AppendMessagef("%v", err))
	l.cancel()
	close(l.done)
}

// isInUse tells that calls wait for answers.
func (l *link) isInUse() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.pending) > 0
}

// isClosed tells that the link can't be used any more.
func (l *link) isClosed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}
