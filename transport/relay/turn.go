package relay

import (
	"bytes"
	"context"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/state/result"
)

// beginTurn prepares a request that is a turn of a program: what came before is
// put in front of its body, and what it may generate is reserved.
func (c *call) beginTurn(ctx context.Context, table *routetable.Table) *result.Error {
	if c.basis.route.Kind != routetable.Stream || c.asked.facts.Budget == 0 && !c.basis.route.Retained {
		return nil
	}
	if c.basis.route.Retained && c.asked.facts.LastEvent != "" {
		// The part of the answer that the client has isn't known here, so that
		// the turn could not be kept whole.
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

// countEvent tells the turn of an event before it is handed out.
func (c *call) countEvent(passed event) {
	if c.granted.turn == nil {
		return
	}
	if data, found := passed.data(); found {
		c.granted.turn.Event(data)
	}
}

// completeTurn stores the turn. The answer ends as a whole one only afterwards.
func (c *call) completeTurn(ctx context.Context) error {
	if c.granted.turn == nil {
		return nil
	}
	return c.granted.turn.Complete(ctx)
}

func (c *call) endTurn() {
	if c.granted.turn != nil {
		c.granted.turn.End()
	}
}

// data returns the content of the event's data fields, joined by line feeds
// (WHATWG HTML, section 9.2.6).
func (e event) data() (data []byte, found bool) {
	for line := range bytes.Lines(e.raw) {
		value, isData := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data:"))
		if !isData {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		found = true
	}
	return data, found
}
