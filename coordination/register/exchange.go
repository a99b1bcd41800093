package register

import (
	"context"
	"sync/atomic"

	"github.com/marblering/marblering/coordination/multicast"
)

// exchange sends one request of a round to the members and collects the answers. It is
// used by the round's goroutine. Requests that the round doesn't wait for run on.
type exchange struct {
	round   *round
	request Request
	// ctx is the context of all requests. It ends with the request timeout.
	ctx    context.Context
	cancel context.CancelFunc
	// expired is closed when the request timeout ends.
	expired   chan struct{}
	stopTimer func() bool
	// order holds the indexes of the members in the order in which they are asked.
	order   []int
	members *multicast.Round
	answers chan answer
	// hedgeDue receives a value when the members asked so far take longer than
	// ThriftyQuorum.HedgeDelay; nil if all members are asked at once.
	hedgeDue       chan struct{}
	stopHedgeTimer func() bool
	// pending counts the requests under way, plus one while the round waits for them.
	pending atomic.Int32
}

// startExchange sends the request to all members, or to a majority with
// Settings.ThriftyQuorum. A fast round always asks all members, since it needs all answers.
func (r *round) startExchange(request Request) *exchange {
	settings := r.client.settings
	e := &exchange{
		round: r, request: request, order: r.client.memberOrder(r.view, r.id.key),
		expired: make(chan struct{}), answers: make(chan answer, len(r.view.Members)),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.pending.Store(1)
	e.stopTimer = r.client.clock.AfterFunc(settings.RequestTimeout, func() {
		close(e.expired)
		e.cancel()
	})
	e.members = multicast.New(e.addresses(), settings.ThriftyQuorum.hedging(), e.send)
	if settings.ThriftyQuorum == nil || r.isFast {
		e.members.Ask(len(e.order))
		return e
	}
	e.hedgeDue = make(chan struct{}, 1)
	e.members.Begin(r.view.Quorum())
	e.startHedgeTimer()
	return e
}

// addresses returns the addresses of the members in the order in which they are asked.
func (e *exchange) addresses() []string {
	addresses := make([]string, len(e.order))
	for position, member := range e.order {
		addresses[position] = e.round.view.Members[member].Address
	}
	return addresses
}

// send starts the request to the member at the position in the order.
func (e *exchange) send(position int) {
	e.pending.Add(1)
	go func() {
		received := e.round.send(e.ctx, e.order[position], e.request)
		received.position = position
		e.answers <- received
		e.release()
	}()
}

// startHedgeTimer starts the timer of the next hedge, unless all members were asked.
func (e *exchange) startHedgeTimer() {
	if e.members.Remaining() == 0 {
		return
	}
	e.stopHedgeTimer = e.round.client.clock.AfterFunc(e.round.client.settings.ThriftyQuorum.HedgeDelay, func() {
		select {
		case e.hedgeDue <- struct{}{}:
		default:
		}
	})
}

// hedge asks one more member if the budget allows it. A refused hedge ends hedging for
// this exchange.
func (e *exchange) hedge() {
	if e.members.Hedge() {
		e.startHedgeTimer()
	}
}

// recordAnswer records that the member has answered or that its request has failed.
func (e *exchange) recordAnswer(received answer) {
	e.members.RecordAnswer(received.position)
	thrifty := e.round.client.settings.ThriftyQuorum
	if thrifty == nil {
		return
	}
	address := e.round.view.Members[received.member].Address
	if received.err != nil {
		thrifty.Reach.RecordFailure(address)
		return
	}
	thrifty.Reach.RecordResponse(address)
	e.members.AvoidLate()
}

// avoidPending has the members that didn't answer in time asked last for a while.
func (e *exchange) avoidPending() {
	if e.round.client.settings.ThriftyQuorum != nil {
		e.members.AvoidPending()
	}
}

// finish ends the round's wait for answers. Requests under way go on, so that members
// slower than the majority still receive the value.
func (e *exchange) finish() {
	if e.stopHedgeTimer != nil {
		e.stopHedgeTimer()
	}
	e.release()
}

// release frees the timer and the context once no request is under way.
func (e *exchange) release() {
	if e.pending.Add(-1) == 0 {
		e.stopTimer()
		e.cancel()
	}
}
