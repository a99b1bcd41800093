package register

import (
	"context"
	"sync/atomic"
	"time"
)

// exchange is one request under way to members of a round, in the order in which
// they are asked. It is used by one goroutine.
type exchange struct {
	round   *round
	request Request
	ctx     context.Context
	cancel  context.CancelFunc
	order   []int
	answers chan answer
	// expired is closed when the request timeout ends; requests are cancelled then.
	expired chan struct{}
	stop    func() bool
	// hedge tells that the members that were asked are late; nil where all are
	// asked at once.
	hedge     chan struct{}
	stopHedge func() bool
	// asked is how many of the order were asked. pending are those that haven't
	// answered, late those of them for which another one was asked.
	asked   int
	pending memberSet
	late    memberSet
	// open counts the requests under way and the round that waits for them.
	open atomic.Int32
}

// begun sends the request to as many members as it takes.
func (r *round) begun(request Request) *exchange {
	ctx, cancel := context.WithCancel(context.Background())
	e := &exchange{
		round: r, request: request, ctx: ctx, cancel: cancel, order: r.client.order(r.view, r.id.key),
		answers: make(chan answer, len(r.view.Members)), expired: make(chan struct{}),
	}
	e.open.Store(1)
	e.stop = r.client.clock.AfterFunc(r.client.settings.RequestTimeout, func() {
		close(e.expired)
		cancel()
	})
	thrift := r.client.settings.Thrift
	if thrift == nil || r.isFresh {
		e.ask(len(e.order))
		return e
	}
	thrift.Hedges.Attempted(hedged, time.Now())
	e.hedge = make(chan struct{}, 1)
	e.ask(r.view.Quorum())
	e.awaitHedge()
	return e
}

// ask sends the request to so many members more.
func (e *exchange) ask(count int) {
	for ; e.asked < len(e.order) && count > 0; count-- {
		member := e.order[e.asked]
		e.asked++
		e.pending.add(member)
		e.open.Add(1)
		go func() {
			e.answers <- e.round.send(e.ctx, member, e.request)
			e.release()
		}()
	}
}

// awaitHedge has the exchange told once the members that were asked are late.
func (e *exchange) awaitHedge() {
	if e.asked == len(e.order) {
		return
	}
	e.stopHedge = e.round.client.clock.AfterFunc(e.round.client.settings.Thrift.Delay, func() {
		select {
		case e.hedge <- struct{}{}:
		default:
		}
	})
}

// askAnother asks one member more, where the budget of hedges allows it.
func (e *exchange) askAnother() {
	if !e.round.client.settings.Thrift.Hedges.Retry(hedged, time.Now()) {
		return
	}
	e.late |= e.pending
	e.ask(1)
	e.awaitHedge()
}

// take notes that the member has answered. Members that are late by then, and
// were asked before it, are asked last for a while.
func (e *exchange) take(received answer) {
	e.pending.remove(received.member)
	e.late.remove(received.member)
	thrift := e.round.client.settings.Thrift
	if thrift == nil {
		return
	}
	if received.err != nil {
		thrift.Reach.Failed(e.address(received.member))
		return
	}
	thrift.Reach.Heard(e.address(received.member))
	e.avoid(e.late)
	e.late = 0
}

// passOver has the members asked last for a while that didn't answer in time.
func (e *exchange) passOver() {
	if e.round.client.settings.Thrift != nil {
		e.avoid(e.pending)
	}
}

func (e *exchange) avoid(members memberSet) {
	for member := range e.round.view.Members {
		if members.has(member) {
			e.round.client.settings.Thrift.Reach.Failed(e.address(member))
		}
	}
}

func (e *exchange) address(member int) string { return e.round.view.Members[member].Address }

// finish ends the round's wait. What is under way goes on.
func (e *exchange) finish() {
	if e.stopHedge != nil {
		e.stopHedge()
	}
	e.release()
}

// release ends the exchange once nothing of it is under way.
func (e *exchange) release() {
	if e.open.Add(-1) == 0 {
		e.stop()
		e.cancel()
	}
}

// memberSet holds indexes of members; a view has far fewer than 64.
type memberSet uint64

func (s *memberSet) add(member int)     { *s |= 1 << member }
func (s *memberSet) remove(member int)  { *s &^= 1 << member }
func (s memberSet) has(member int) bool { return s&(1<<member) != 0 }
