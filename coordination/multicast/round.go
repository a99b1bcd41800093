// Package multicast keeps the account of one request that is sent to members of a
// replica set: to as many as it needs at first, and to others where these fail or are
// late (hedged requests: J. Dean, L. A. Barroso, "The Tail at Scale", 2013).
//
// It owns which members were asked, which of them haven't answered and which are late.
// It sends nothing, starts no goroutine and has no timer: its caller sends the
// requests, notices when the members that were asked take too long, and decides what
// an answer means. It relies on the budget of coordination/limit, which bounds the
// hedges, and on the tracker of coordination/reach, which remembers whom to ask last.
package multicast

import (
	"time"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/reach"
)

// Hedging is what rounds of one kind share.
type Hedging struct {
	// Kind names the requests in the budget.
	Kind string
	// Budget bounds the hedges. Members that are late together are overloaded, and
	// asking more of them would make that worse.
	Budget *limit.RetryBudget
	// Reach is told which members to ask last for a while.
	Reach *reach.Tracker
	// Now is the clock of the budget.
	Now func() time.Time
}

// standing is where a member stands in a round; zero for members that weren't asked.
type standing uint8

const (
	// pending members were asked and haven't answered.
	pending standing = iota + 1
	// late members are pending ones that hadn't answered when a hedge was sent.
	late
	// answered members have answered, or their requests have failed.
	answered
)

// Round is one request to members of a set. It is used by one goroutine.
type Round struct {
	hedging   Hedging
	addresses []string
	send      func(place int)
	// asked is how many members were asked, in the order of the addresses.
	asked     int
	standings []standing
}

// New makes a round over members at the addresses, which are asked in this order. Send
// is called with a member's place in the order and must not wait for its answer. A
// round that calls neither Begin, Hedge nor the Avoid methods needs no hedging.
func New(addresses []string, hedging Hedging, send func(place int)) *Round {
	return &Round{hedging: hedging, addresses: addresses, send: send, standings: make([]standing, len(addresses))}
}

// Begin asks the first members and counts the round in the budget, which allows hedges
// in proportion to the rounds.
func (r *Round) Begin(first int) {
	r.hedging.Budget.Attempted(r.hedging.Kind, r.hedging.Now())
	r.Ask(first)
}

// Ask asks so many members more, or as many as are left.
func (r *Round) Ask(count int) {
	for ; r.Left() > 0 && count > 0; count-- {
		place := r.asked
		r.asked++
		r.standings[place] = pending
		r.send(place)
	}
}

// Asked returns how many members were asked.
func (r *Round) Asked() int { return r.asked }

// Left returns how many members weren't asked.
func (r *Round) Left() int { return len(r.addresses) - r.asked }

// Hedge asks one member more, where one is left, because those that were asked take
// long: the ones that haven't answered are late from now on. It does nothing and
// returns false where the budget is spent.
func (r *Round) Hedge() bool {
	if !r.hedging.Budget.Retry(r.hedging.Kind, r.hedging.Now()) {
		return false
	}
	for place, standing := range r.standings {
		if standing == pending {
			r.standings[place] = late
		}
	}
	r.Ask(1)
	return true
}

// Answered notes that the member has answered or its request has failed.
func (r *Round) Answered(place int) { r.standings[place] = answered }

// AvoidLate has the late members asked last for a while. It is called when a member
// answers: one that was asked after them may have been faster, and later requests
// needn't wait for them. Until the next hedge they aren't late any more.
func (r *Round) AvoidLate() {
	for place, standing := range r.standings {
		if standing == late {
			r.standings[place] = pending
			r.hedging.Reach.Failed(r.addresses[place])
		}
	}
}

// AvoidPending has all members asked last for a while that were asked and haven't
// answered. It is called when the time for answers is over.
func (r *Round) AvoidPending() {
	for place, standing := range r.standings {
		if standing == pending || standing == late {
			r.hedging.Reach.Failed(r.addresses[place])
		}
	}
}
