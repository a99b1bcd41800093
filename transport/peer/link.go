package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
)

// batchBytes is the size at which no further calls or answers are added to a message.
// Larger messages would delay those behind them, and maxMessageBytes limits their size.
const batchBytes = 256 << 10

// errConnectionLost is returned for calls that were in flight when the link closed.
// They may have had their effect.
var errConnectionLost = merry.Sentinel("the connection to the peer was lost")

// lastAnswersTimeout is how long a link that can't send any more waits for answers that the
// peer has sent before it closed the stream.
const lastAnswersTimeout = 200 * time.Millisecond

// link is a stream of calls to a peer. Calls that are queued while a message is being
// written are sent together in the next one. A link is safe for concurrent use and
// rejects calls once done is closed.
type link struct {
	stream *connect.BidiStreamForClient[peerv1.Calls, peerv1.Answers]
	cancel context.CancelFunc
	// wake signals the sender that calls or abandoned numbers are queued.
	wake chan struct{}
	done chan struct{}

	mutex sync.Mutex
	// lastNumber is the number of the latest call.
	lastNumber uint64
	queued     []*peerv1.Call
	// abandoned holds the numbers of sent calls that the peer is to cancel.
	abandoned []uint64
	// pending holds the channels of calls without an answer, by number. It is nil once
	// the link is closed.
	pending map[uint64]chan *peerv1.Answer
	// sendErr is set once no call can be sent.
	sendErr error
	// closeErr is set before done is closed.
	closeErr error
}

// newLink opens a stream. It doesn't wait for the connection: where the peer is
// unreachable, calls fail.
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

// call sends a call and waits for its answer or until the context ends.
func (l *link) call(ctx context.Context, call *peerv1.Call) (*peerv1.Answer, error) {
	answered, err := l.enqueue(call)
	if err != nil {
		return nil, err
	}
	return l.await(ctx, call.GetNumber(), answered)
}

// await waits for the answer to a call. An answer that has arrived is returned even if the
// link is closed or the context has ended.
func (l *link) await(ctx context.Context, number uint64, answered <-chan *peerv1.Answer) (*peerv1.Answer, error) {
	var err error
	select {
	case answer := <-answered:
		return answer, nil
	case <-l.done:
		err = l.closeErr
	case <-ctx.Done():
		l.abandon(number)
		err = context.Cause(ctx)
	}
	select {
	case answer := <-answered:
		return answer, nil
	default:
		return nil, err
	}
}

func (l *link) enqueue(call *peerv1.Call) (<-chan *peerv1.Answer, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.pending == nil {
		return nil, l.closeErr
	}
	if l.sendErr != nil {
		return nil, l.sendErr
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

// abandon drops a call without an answer. If it was already sent, the peer is told to cancel
// it.
func (l *link) abandon(number uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, isPending := l.pending[number]; !isPending {
		return
	}
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

// send writes the queued calls until the link is closed.
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
			l.closeAfterAnswers(err)
			return
		}
	}
}

// closeAfterAnswers closes a link that can't send any more, after the answers that have
// arrived: receive closes it at the end of the stream.
func (l *link) closeAfterAnswers(err error) {
	l.mutex.Lock()
	l.sendErr = connectionLost(err)
	l.mutex.Unlock()
	select {
	case <-l.done:
	case <-time.After(lastAnswersTimeout):
		l.closeWithError(err)
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

// receive delivers answers to their callers until the link is closed.
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

// closeWithError closes the link. All pending calls fail with errConnectionLost.
func (l *link) closeWithError(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.pending == nil {
		return
	}
	l.pending, l.queued = nil, nil
	l.closeErr = connectionLost(err)
	l.cancel()
	close(l.done)
}

func connectionLost(cause error) error {
	return merry.Wrap(errConnectionLost, merry.WithCause(cause), merry.AppendMessagef("%v", cause))
}

// isInUse reports whether calls wait for answers.
func (l *link) isInUse() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.pending) > 0
}

// isClosed reports whether the link takes no calls any more.
func (l *link) isClosed() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.pending == nil || l.sendErr != nil
}
