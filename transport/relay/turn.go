package relay

import (
	"context"
	"errors"
	"fmt"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/transport/upstream"
)

// beginTurn prepares a request that is a turn of a program: it prepends the previous turns
// to the body and reserves tokens from the budget. It does nothing for other requests.
func (c *call) beginTurn(ctx context.Context, table *routetable.Table) *result.Error {
	if c.routing.route.Kind != routetable.Stream || c.input.info.TokenBudget == 0 && !c.routing.route.Retained {
		return nil
	}
	if c.routing.route.Retained && c.input.info.LastEventID != "" {
		// The events that the client already received are unknown here, so the turn
		// couldn't be stored completely.
		return resumedRetainedTurn.errorf("a retained turn begins at its start")
	}
	service := table.Service(c.routing.route.Pick(backend.KeyFraction(c.input.info.AffinityKey)))
	started := c.handler.options.Now()
	turn, failure := c.handler.options.Turns.Begin(ctx, conversation.Request{
		ID: c.input.info.ID, Program: c.input.info.Program, Tenant: c.tenantName(), Previous: c.input.info.PreviousTurn,
		Budget: c.input.info.TokenBudget, MaxTokens: c.input.info.MaxTokens, TokensPerEvent: service.TokensPerEvent,
		Retained: c.routing.route.Retained, Retention: c.routing.route.Retention, Route: c.routing.route.Name,
		Timeout: c.timing.timeout(), Input: c.input.received, Origin: c.originForReservation(),
	})
	c.stream.reservationTime = c.handler.options.Now().Sub(started)
	if failure != nil {
		c.recordNoQuorum(failure.Cause)
		return failure
	}
	c.grants.turn = turn
	c.input.body = turn.Body()
	return nil
}

// countEvent counts an event against the budget of the turn before it is sent. The error wraps an
// *upstream.LimitError if the turn is too large to be stored with it.
func (c *call) countEvent(sent event) error {
	if c.grants.turn == nil {
		return nil
	}
	data, found := sent.data()
	if !found {
		return nil
	}
	err := c.grants.turn.Event(data)
	var tooLarge *conversation.OutputError
	if errors.As(err, &tooLarge) {
		return fmt.Errorf("%w: %w", tooLarge, &upstream.LimitError{Limit: limitTurnBytes, Bytes: int(tooLarge.Bytes)})
	}
	return err
}

// completeTurn stores the turn. It must succeed before the response may end normally.
func (c *call) completeTurn(ctx context.Context) error {
	if c.grants.turn == nil {
		return nil
	}
	err := c.grants.turn.Complete(ctx)
	c.recordNoQuorum(err)
	return err
}

// endTurn charges the budget for the tokens sent to the client.
func (c *call) endTurn() {
	if c.grants.turn != nil {
		c.grants.turn.End()
	}
}
