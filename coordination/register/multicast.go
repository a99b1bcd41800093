package register

import (
	"context"
	"sync/atomic"
)

// multicast is one request under way to members of a round, in the order in which
// they are asked. It is used by one goroutine.
type multicast struct {
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

// multicast sends the request to as many members as it takes.
func (r *round) multicast(request Request) *multicast {
	ctx, cancel := context.WithCancel(context.Background())
	m := &multicast{
		round: r, request: request, ctx: ctx, cancel: cancel, order: r.client.order(r.view, r.id.key),
		answers: make(chan answer, len(r.view.Members)), expired: make(chan struct{}),
	}
	m.open.Store(1)
	m.stop = r.client.clock.AfterFunc(r.client.settings.RequestTimeout, func() {
		close(m.expired)
		cancel()
	})
	thrift := r.client.settings.Thrift
	if thrift == nil || r.isFresh {
		m.ask(len(m.order))
		return m
	}
	thrift.Hedges.Attempted(hedged, thrift.Now())
	m.hedge = make(chan struct{}, 1)
	m.ask(r.view.Quorum())
	m.awaitHedge()
	return m
}

// ask sends the request to so many members more.
func (m *multicast) ask(count int) {
	for ; m.asked < len(m.order) && count > 0; count-- {
		member := m.order[m.asked]
		m.asked++
		m.pending.add(member)
		m.open.Add(1)
		go func() {
			m.answers <- m.round.send(m.ctx, member, m.request)
			m.release()
		}()
	}
}

// awaitHedge has the exchange told once the members that were asked are late.
func (m *multicast) awaitHedge() {
	if m.asked == len(m.order) {
		return
	}
	m.stopHedge = m.round.client.clock.AfterFunc(m.round.client.settings.Thrift.Delay, func() {
		select {
		case m.hedge <- struct{}{}:
		default:
		}
	})
}

// askAnother asks one member more, where the budget of hedges allows it.
func (m *multicast) askAnother() {
	thrift := m.round.client.settings.Thrift
	if !thrift.Hedges.Retry(hedged, thrift.Now()) {
		return
	}
	m.late |= m.pending
	m.ask(1)
	m.awaitHedge()
}

// take notes that the member has answered. Members that are late by then are asked
// last for a while, unless they answer after all.
func (m *multicast) take(received answer) {
	m.pending.remove(received.member)
	m.late.remove(received.member)
	thrift := m.round.client.settings.Thrift
	if thrift == nil {
		return
	}
	if received.err != nil {
		thrift.Reach.Failed(m.address(received.member))
		return
	}
	thrift.Reach.Heard(m.address(received.member))
	m.avoid(m.late)
	m.late = 0
}

// passOver has the members asked last for a while that didn't answer in time.
func (m *multicast) passOver() {
	if m.round.client.settings.Thrift != nil {
		m.avoid(m.pending)
	}
}

func (m *multicast) avoid(members memberSet) {
	for member := range m.round.view.Members {
		if members.has(member) {
			m.round.client.settings.Thrift.Reach.Failed(m.address(member))
		}
	}
}

func (m *multicast) address(member int) string { return m.round.view.Members[member].Address }

// finish ends the round's wait for answers. What is under way goes on.
func (m *multicast) finish() {
	if m.stopHedge != nil {
		m.stopHedge()
	}
	m.release()
}

// release frees the timer and the context once nothing is under way any more.
func (m *multicast) release() {
	if m.open.Add(-1) == 0 {
		m.stop()
		m.cancel()
	}
}

// memberSet holds indexes of members; a view has far fewer than 64.
type memberSet uint64

func (s *memberSet) add(member int)     { *s |= 1 << member }
func (s *memberSet) remove(member int)  { *s &^= 1 << member }
func (s memberSet) has(member int) bool { return s&(1<<member) != 0 }
