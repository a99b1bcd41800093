package placement

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
)

// ErrOldFence is returned by a Sender where the engine knows a newer fence.
var ErrOldFence = merry.Sentinel("the engine knows a newer fence")

// Fencer draws fences from a replicated register: each is greater than all
// that were drawn before, on any node.
type Fencer interface {
	Next(ctx context.Context) (uint64, error)
}

// Sender gives an order to an engine.
type Sender interface {
	Send(ctx context.Context, fence uint64, order Order) error
}

// Controller carries out plans. Any node may run one: of two at once, the one
// with the older fence is refused by every engine that has seen the newer.
type Controller struct {
	fencer Fencer
	sender Sender
	policy func() Policy
}

// NewController makes a controller.
func NewController(fencer Fencer, sender Sender, policy func() Policy) *Controller {
	return &Controller{fencer: fencer, sender: sender, policy: policy}
}

// Round is the outcome of one round.
type Round struct {
	// Fence is zero where there was nothing to do.
	Fence uint64
	// Sent are the orders that engines have accepted.
	Sent []Order
	// Failed are those that engines didn't accept; the next plan sees to them.
	Failed []FailedOrder
}

// FailedOrder is an order with the reason why it failed.
type FailedOrder struct {
	Order Order
	Err   error
}

// Run plans once and sends the orders. It stops with ErrOldFence as soon as an
// engine knows a newer fence: another node has planned since, with newer
// knowledge.
func (c *Controller) Run(ctx context.Context, state State) (Round, error) {
	orders := Plan(state, c.policy())
	if len(orders) == 0 {
		return Round{}, nil
	}
	fence, err := c.fencer.Next(ctx)
	if err != nil {
		return Round{}, merry.Prependf(err, "draw a fence for %d orders", len(orders))
	}
	round := Round{Fence: fence}
	failed := make(map[string]bool)
	for _, order := range orders {
		if failed[order.Engine] {
			continue
		}
		err := c.sender.Send(ctx, fence, order)
		if errors.Is(err, ErrOldFence) {
			return round, merry.Prependf(err, "send %s to %s", order.Action, order.Engine)
		}
		if err != nil {
			failed[order.Engine] = true
			round.Failed = append(round.Failed, FailedOrder{Order: order, Err: err})
			continue
		}
		round.Sent = append(round.Sent, order)
	}
	return round, nil
}
