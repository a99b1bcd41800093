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
	if c.routing.route.Kind != routetable.Stream || c.input.facts.Budget == 0 && !c.routing.route.Retained {
		return nil
	}
	if c.routing.route.Retained && c.input.facts.LastEvent != "" {
		// The part of the answer that the client already has isn't known here, so that
		// the turn couldn't be stored whole.
		return resumedRetainedTurn.errorf("a retained turn begins at its start")
	}
	service := table.Service(c.routing.route.Pick(backend.Draw(c.input.facts.Key)))
	turn, failure := c.handler.options.Turns.Begin(ctx, conversation.Request{
		ID: c.input.facts.ID, Program: c.input.facts.Program, Tenant: c.tenantName(), Previous: c.input.facts.Previous,
		Budget: c.input.facts.Budget, Most: c.input.facts.MostTokens, TokensPerEvent: service.TokensPerEvent,
		Retained: c.routing.route.Retained, Retention: c.routing.route.Retention, Timeout: c.timing.timeout(), Input: c.input.body,
	})
	if failure != nil {
		return failure
	}
	c.grants.turn = turn
	c.input.body = turn.Body()
	return nil
}

// countEvent counts an event of a turn before it is passed on.
func (c *call) countEvent(passed event) {
	if c.grants.turn == nil {
		return
	}
	if data, found := passed.data(); found {
		c.grants.turn.Event(data)
	}
}

// completeTurn stores the turn, which has to be done before its answer may end as a whole
// one.
func (c *call) completeTurn(ctx context.Context) error {
	if c.grants.turn == nil {
		return nil
	}
	return c.grants.turn.Complete(ctx)
}

// endTurn settles the budget of the turn by what was passed on.
func (c *call) endTurn() {
	if c.grants.turn != nil {
		c.grants.turn.End()
	}
}
