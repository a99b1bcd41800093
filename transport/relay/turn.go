package relay

import (
	"context"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/state/result"
)

// beginTurn prepares a request that is a turn of a program: it prepends the previous turns
// to the body and reserves tokens from the budget. It does nothing for other requests.
func (c *call) beginTurn(ctx context.Context, table *routetable.Table) *result.Error {
	if c.routing.route.Kind != routetable.Stream || c.input.facts.TokenBudget == 0 && !c.routing.route.Retained {
		return nil
	}
	if c.routing.route.Retained && c.input.facts.LastEventID != "" {
		// The events that the client already received are unknown here, so the turn
		// couldn't be stored completely.
		return resumedRetainedTurn.errorf("a retained turn begins at its start")
	}
	service := table.Service(c.routing.route.Pick(backend.KeyFraction(c.input.facts.AffinityKey)))
	turn, failure := c.handler.options.Turns.Begin(ctx, conversation.Request{
		ID: c.input.facts.ID, Program: c.input.facts.Program, Tenant: c.tenantName(), Previous: c.input.facts.PreviousTurn,
		Budget: c.input.facts.TokenBudget, MaxTokens: c.input.facts.MaxTokens, TokensPerEvent: service.TokensPerEvent,
		Retained: c.routing.route.Retained, Retention: c.routing.route.Retention, Timeout: c.timing.timeout(), Input: c.input.body,
	})
	if failure != nil {
		return failure
	}
	c.grants.turn = turn
	c.input.body = turn.Body()
	return nil
}

// countEvent counts an event against the budget of the turn before it is sent.
func (c *call) countEvent(sent event) {
	if c.grants.turn == nil {
		return
	}
	if data, found := sent.data(); found {
		c.grants.turn.Event(data)
	}
}

// completeTurn stores the turn. It must succeed before the response may end normally.
func (c *call) completeTurn(ctx context.Context) error {
	if c.grants.turn == nil {
		return nil
	}
	return c.grants.turn.Complete(ctx)
}

// endTurn charges the budget for the tokens sent to the client.
func (c *call) endTurn() {
	if c.grants.turn != nil {
		c.grants.turn.End()
	}
}
