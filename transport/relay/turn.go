package relay

import (
	"context"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/state/result"
)

// beginTurn prepares a request that is a turn of a program: the turns before it are put in
// front of its body, and the tokens that it may generate are reserved. It does nothing
// for other requests.
func (c *call) beginTurn(ctx context.Context, table *routetable.Table) *result.Error {
	if c.basis.route.Kind != routetable.Stream || c.asked.facts.Budget == 0 && !c.basis.route.Retained {
		return nil
	}
	if c.basis.route.Retained && c.asked.facts.LastEvent != "" {
		// The part of the answer that the client already has isn't known here, so that
		// the turn couldn't be stored whole.
		return resumedTurn.refusal("a retained turn begins at its start")
	}
	service := table.Service(c.basis.route.Pick(backend.Draw(c.asked.facts.Key)))
	turn, failure := c.handler.options.Turns.Begin(ctx, conversation.Request{
		ID: c.asked.facts.ID, Program: c.asked.facts.Program, Tenant: c.tenantName(), Previous: c.asked.facts.Previous,
		Budget: c.asked.facts.Budget, Most: c.asked.facts.MostTokens, TokensPerEvent: service.TokensPerEvent,
		Retained: c.basis.route.Retained, Retention: c.basis.route.Retention, Timeout: c.times.allowed(), Input: c.asked.body,
	})
	if failure != nil {
		return failure
	}
	c.granted.turn = turn
	c.asked.body = turn.Body()
	return nil
}

// countEvent counts an event of a turn before it is passed on.
func (c *call) countEvent(passed event) {
	if c.granted.turn == nil {
		return
	}
	if data, found := passed.data(); found {
		c.granted.turn.Event(data)
	}
}

// completeTurn stores the turn, which has to be done before its answer may end as a whole
// one.
func (c *call) completeTurn(ctx context.Context) error {
	if c.granted.turn == nil {
		return nil
	}
	return c.granted.turn.Complete(ctx)
}

// endTurn settles the budget of the turn by what was passed on.
func (c *call) endTurn() {
	if c.granted.turn != nil {
		c.granted.turn.End()
	}
}
