// Package multicast tracks the state of one request that is sent to members of a replica
// set: at first to as many as it needs, and to further ones if these fail or are late
// (hedged requests: J. Dean, L. A. Barroso, "The Tail at Scale", 2013).
//
// It records which members were asked, which of them haven't answered and which are
// late. It does no I/O and has no goroutines or timers: the caller sends the requests,
// detects when members take too long, and interprets the answers. A retry budget
// (coordination/limit) bounds the hedges, and a tracker (coordination/reach) remembers
// which members to ask last.
package multicast

import (
	"time"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/reach"
)

// Hedging is the configuration that rounds of one kind share.
type Hedging struct {
	// BudgetKey is the key of these requests in the budget.
	BudgetKey string
	// Budget bounds the hedges. Members that are late together are overloaded, and
	// unbounded hedging would add to their load.
	Budget *limit.RetryBudget
	// Tracker records which members to ask last for a while.
	Tracker *reach.Tracker
	// Now returns the current time for the budget.
	Now func() time.Time
}

// memberState is the state of a member in a round; zero if it wasn't asked.
type memberState uint8

const (
	// pending members were asked and haven't answered.
	pending memberState = iota + 1
	// late members were asked and hadn't answered when a hedge was sent.
	late
	// answered members have answered or their requests have failed.
	answered
)

// Round is one request to members of a replica set. It is not safe for concurrent use.
type Round struct {
	hedging   Hedging
	addresses []string
	send      func(index int)
	// asked is the number of members that were asked, in the order of the addresses.
	asked  int
	states []memberState
}

// New returns a round that asks the members at the addresses in this order. It calls send
// with the index of an address; send must not wait for the answer. Hedging may be zero if
// Begin, Hedge and the Avoid methods aren't called.
func New(addresses []string, hedging Hedging, send func(index int)) *Round {
	return &Round{hedging: hedging, addresses: addresses, send: send, states: make([]memberState, len(addresses))}
}

// Begin asks the first members and records the round in the budget, which allows hedges in
// proportion to the rounds.
func (r *Round) Begin(first int) {
	r.hedging.Budget.RecordAttempt(r.hedging.BudgetKey, r.hedging.Now())
	r.Ask(first)
}

// Ask asks up to count further members.
func (r *Round) Ask(count int) {
	for ; r.Remaining() > 0 && count > 0; count-- {
		index := r.asked
		r.asked++
		r.states[index] = pending
		r.send(index)
	}
}

// Asked returns the number of members that were asked.
func (r *Round) Asked() int { return r.asked }

// Remaining returns the number of members that weren't asked.
func (r *Round) Remaining() int { return len(r.addresses) - r.asked }

// Hedge marks the pending members as late and asks one further member, if one is left. If
// the budget is exhausted, it does nothing and returns false.
func (r *Round) Hedge() bool {
	if !r.hedging.Budget.TryRetry(r.hedging.BudgetKey, r.hedging.Now()) {
		return false
	}
	for index, state := range r.states {
		if state == pending {
			r.states[index] = late
		}
	}
	r.Ask(1)
	return true
}

// RecordAnswer records that the member has answered or its request has failed.
func (r *Round) RecordAnswer(index int) { r.states[index] = answered }

// AvoidLate reports the late members as failed, so that later requests ask them last for a
// while. The caller calls it when a member answers, because that member may have been
// faster than others that were asked before. The late members become pending again.
func (r *Round) AvoidLate() {
	for index, state := range r.states {
		if state == late {
			r.states[index] = pending
			r.hedging.Tracker.RecordFailure(r.addresses[index])
		}
	}
}

// AvoidPending reports all members that haven't answered as failed, so that later requests
// ask them last for a while. The caller calls it when the time for answers is over.
func (r *Round) AvoidPending() {
	for index, state := range r.states {
		if state == pending || state == late {
			r.hedging.Tracker.RecordFailure(r.addresses[index])
		}
	}
}
