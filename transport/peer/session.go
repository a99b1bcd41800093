package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
)

// maxConcurrentCalls is the highest number of calls of one stream that are served at
// once. Callers stay below it (see maxInFlight). Beyond it, calls aren't started until
// others have been answered.
const maxConcurrentCalls = 2 * maxInFlight

// errUnsupportedCall is the failure of a call of a kind that this node doesn't serve.
var errUnsupportedCall = merry.Sentinel("this node doesn't serve calls of this kind")

// errPanicked is the failure of a call whose handler panicked.
var errPanicked = merry.Sentinel("the call panicked")

// callServer serves streams of calls.
type callServer struct {
	replica *replicaServer
	budgets *budgetServer
	origins StreamOrigins
	quotas  QuotaHolder
	metrics *Metrics
	tracker callTracker
}

var _ peerv1connect.CallServiceHandler = (*callServer)(nil)

// Stream serves the calls of a peer until the peer closes the stream.
func (s *callServer) Stream(ctx context.Context, stream *connect.BidiStream[peerv1.Calls, peerv1.Answers]) error {
	ctx, cancel := context.WithCancel(ctx)
	session := &session{
		server: s, stream: stream, answers: make(chan trackedAnswer, maxConcurrentCalls),
		slots: make(chan struct{}, maxConcurrentCalls), cancels: make(map[uint64]context.CancelFunc),
	}
	senderDone := make(chan struct{})
	go func() {
		defer close(senderDone)
		session.sendAnswers(ctx)
	}()
	err := session.receive(ctx)
	cancel()
	session.running.Wait()
	<-senderDone
	session.dropAnswers()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// trackedAnswer is an answer and the kind under which its call is counted; empty for a call
// that isn't counted.
type trackedAnswer struct {
	*peerv1.Answer
	kind string
}

// session is the server's side of one stream of calls.
type session struct {
	server  *callServer
	stream  *connect.BidiStream[peerv1.Calls, peerv1.Answers]
	answers chan trackedAnswer
	// slots limits the calls that run or whose answers are queued.
	slots   chan struct{}
	running sync.WaitGroup

	mutex sync.Mutex
	// cancels holds the functions that cancel the running calls, by number.
	cancels map[uint64]context.CancelFunc
}

func (s *session) receive(ctx context.Context) error {
	for {
		message, err := s.stream.Receive()
		if err != nil {
			return err
		}
		for _, number := range message.GetAbandoned() {
			s.cancelCall(number)
		}
		for _, call := range message.GetCalls() {
			select {
			case s.slots <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			s.start(ctx, call)
		}
	}
}

func (s *session) start(ctx context.Context, call *peerv1.Call) {
	if !s.server.tracker.begin(call) {
		s.answers <- trackedAnswer{Answer: &peerv1.Answer{Number: call.GetNumber(), Response: failureOf(errStopping)}}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetTimeoutMs())*time.Millisecond)
	s.mutex.Lock()
	s.cancels[call.GetNumber()] = cancel
	s.mutex.Unlock()
	s.running.Go(func() {
		answer := s.server.serve(ctx, call)
		answer.Number = call.GetNumber()
		s.cancelCall(call.GetNumber())
		// This doesn't block: each call occupies a slot, and the channel has as many
		// places as there are slots.
		s.answers <- trackedAnswer{answer, callKind(call)}
	})
}

// cancelCall cancels the call if it is still running.
func (s *session) cancelCall(number uint64) {
	s.mutex.Lock()
	cancel, found := s.cancels[number]
	delete(s.cancels, number)
	s.mutex.Unlock()
	if found {
		cancel()
	}
}

// sendAnswers writes answers until the context ends. Answers that are ready at the same
// time share a message.
func (s *session) sendAnswers(ctx context.Context) {
	for {
		select {
		case first := <-s.answers:
			if s.sendBatch(first) != nil {
				// The stream is broken: receive fails too, and Stream cancels the context.
				<-ctx.Done()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// sendBatch writes the answer and those that are ready, whose calls then are no longer under
// way.
func (s *session) sendBatch(first trackedAnswer) error {
	batch := s.collectBatch(first)
	answers := make([]*peerv1.Answer, 0, len(batch))
	for _, answer := range batch {
		answers = append(answers, answer.Answer)
	}
	err := s.stream.Send(&peerv1.Answers{Answers: answers})
	for _, answer := range batch {
		s.endTracking(answer)
	}
	return err
}

func (s *session) collectBatch(first trackedAnswer) []trackedAnswer {
	batch := []trackedAnswer{first}
	<-s.slots
	for size := proto.Size(first.Answer); size < batchBytes; {
		select {
		case next := <-s.answers:
			batch = append(batch, next)
			size += proto.Size(next.Answer)
			<-s.slots
		default:
			return batch
		}
	}
	return batch
}

// dropAnswers ends the tracking of answers that weren't written before the stream ended.
func (s *session) dropAnswers() {
	for {
		select {
		case answer := <-s.answers:
			s.endTracking(answer)
		default:
			return
		}
	}
}

func (s *session) endTracking(answer trackedAnswer) {
	if answer.kind != "" {
		s.server.tracker.end(answer.kind)
	}
}

// serve executes a call and records it. An error becomes a failure in the answer.
func (s *callServer) serve(ctx context.Context, call *peerv1.Call) *peerv1.Answer {
	start := time.Now()
	answer, err := s.dispatchRecovered(ctx, call)
	if err != nil {
		answer = &peerv1.Answer{Response: failureOf(err)}
	}
	s.metrics.observeCall(sideServer, call, answer, time.Since(start))
	return answer
}

func failureOf(err error) *peerv1.Answer_Failure { return &peerv1.Answer_Failure{Failure: err.Error()} }

// dispatchRecovered executes a call. A panic fails this call alone, as net/http and connect do
// it for single requests: its caller asks the next member, which it would end as well.
func (s *callServer) dispatchRecovered(ctx context.Context, call *peerv1.Call) (answer *peerv1.Answer, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = merry.Wrap(errPanicked, merry.AppendMessagef("%s: %v", callKind(call), reason))
		}
	}()
	return s.dispatch(ctx, call)
}

func (s *callServer) dispatch(ctx context.Context, call *peerv1.Call) (*peerv1.Answer, error) {
	switch request := call.GetRequest().(type) {
	case *peerv1.Call_Prepare:
		return &peerv1.Answer{Response: &peerv1.Answer_Prepare{Prepare: s.replica.prepare(ctx, request.Prepare)}}, nil
	case *peerv1.Call_Accept:
		return &peerv1.Answer{Response: &peerv1.Answer_Accept{Accept: s.replica.accept(ctx, request.Accept)}}, nil
	case *peerv1.Call_PutTurn:
		response, err := s.replica.putTurn(ctx, request.PutTurn)
		return &peerv1.Answer{Response: &peerv1.Answer_PutTurn{PutTurn: response}}, err
	case *peerv1.Call_ReadMany:
		response, err := s.replica.readMany(ctx, request.ReadMany)
		return &peerv1.Answer{Response: &peerv1.Answer_ReadMany{ReadMany: response}}, err
	case *peerv1.Call_ReserveTokens:
		if s.budgets != nil {
			return &peerv1.Answer{Response: &peerv1.Answer_ReserveTokens{ReserveTokens: s.budgets.reserve(ctx, request.ReserveTokens)}}, nil
		}
	case *peerv1.Call_EndTurns:
		if s.budgets != nil {
			return &peerv1.Answer{Response: &peerv1.Answer_EndTurns{EndTurns: s.budgets.end(request.EndTurns)}}, nil
		}
	case *peerv1.Call_RecordStream:
		if s.origins != nil {
			return &peerv1.Answer{Response: &peerv1.Answer_RecordStream{RecordStream: recordStream(s.origins, request.RecordStream)}}, nil
		}
	case *peerv1.Call_FindStream:
		if s.origins != nil {
			return &peerv1.Answer{Response: &peerv1.Answer_FindStream{FindStream: findStream(s.origins, s.replica.replica, request.FindStream)}}, nil
		}
	case *peerv1.Call_TakePermits:
		if s.quotas != nil {
			return &peerv1.Answer{Response: &peerv1.Answer_TakePermits{TakePermits: takePermits(s.quotas, request.TakePermits)}}, nil
		}
	}
	return nil, merry.Wrap(errUnsupportedCall, merry.AppendMessage(callKind(call)))
}
