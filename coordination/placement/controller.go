package placement

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
)

// ErrStaleFence is returned by a Sender when the engine has seen a newer
// fencing token.
var ErrStaleFence = merry.Sentinel("stale fencing token: the engine has seen a newer one")

// Fencer issues fencing tokens from a replicated register. Each token is greater
// than all tokens issued before, on any node.
type Fencer interface {
	Next(ctx context.Context) (uint64, error)
}

// Sender delivers orders to engines.
type Sender interface {
	Send(ctx context.Context, fence uint64, order Order) error
}

// Controller executes plans. Several nodes may run one concurrently: an engine
// rejects orders whose fencing token is older than the newest it has seen.
type Controller struct {
	fencer Fencer
	sender Sender
	policy func() Policy
}

// NewController returns a Controller that reads the policy before every round.
func NewController(fencer Fencer, sender Sender, policy func() Policy) *Controller {
	return &Controller{fencer: fencer, sender: sender, policy: policy}
}

// Round is the outcome of one planning round.
type Round struct {
	// Fence is the fencing token of the round, zero if the plan was empty.
	Fence uint64
	// Sent lists the orders that engines accepted.
	Sent []Order
	// Failed lists the orders that engines did not accept. They are not retried;
	// the next plan starts from the state at that time.
	Failed []FailedOrder
}

// FailedOrder is an order and the error it failed with.
type FailedOrder struct {
	Order Order
	Err   error
}

// Run plans once and sends the orders. After an order fails, the remaining orders
// for the same engine are skipped. Run stops with ErrStaleFence as soon as an
// engine reports a newer fencing token, since another node has planned later.
func (c *Controller) Run(ctx context.Context, state State) (Round, error) {
	orders := Plan(state, c.policy())
	if len(orders) == 0 {
		return Round{}, nil
	}
	fence, err := c.fencer.Next(ctx)
	if err != nil {
		return Round{}, merry.Prependf(err, "get a fencing token for %d orders", len(orders))
	}
	round := Round{Fence: fence}
	failed := make(map[string]bool)
	for _, order := range orders {
		if failed[order.Engine] {
			continue
		}
		err := c.sender.Send(ctx, fence, order)
		if errors.Is(err, ErrStaleFence) {
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
