package quota

import (
	"context"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// announceInterval is the interval between two checks whether slots must be announced.
	announceInterval = time.Second
	// announceIdleTime is the time without a request for a permit after which slots are
	// announced. It is less than idleTimeout, after which their holders would let them go.
	announceIdleTime = 5 * time.Second
)

// KeepAlive keeps every slot held while no request needs it. Without it the first
// requests after a pause would be refused, since a new holder starts with an empty
// bucket. It is a suture service.
type KeepAlive struct {
	client     *Client
	hasTenants func() bool
}

// NewKeepAlive returns an announcer that is active while hasTenants returns true.
func NewKeepAlive(client *Client, hasTenants func() bool) *KeepAlive {
	return &KeepAlive{client: client, hasTenants: hasTenants}
}

// String returns the service's name in supervisor events.
func (a *KeepAlive) String() string { return "quota announcer" }

// Serve announces slots until the context ends.
func (a *KeepAlive) Serve(ctx context.Context) error {
	for sleep.For(ctx, sleep.Jitter(announceInterval)) == nil {
		if a.hasTenants() && a.client.isIdle() {
			a.client.announceSlots(ctx)
		}
	}
	return ctx.Err()
}

// isIdle reports whether no request has needed a permit for announceIdleTime.
func (c *Client) isIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now().Sub(c.lastDemand) > announceIdleTime
}

// announceSlots tells storage nodes that the slots are needed, by a request without a
// tenant.
func (c *Client) announceSlots(ctx context.Context) {
	shards := c.views.Shards()
	for slot := range shards {
		view, known := c.views.View(slot)
		if !known {
			return
		}
		for _, address := range c.orderMembers(view) {
			if c.announceSlot(ctx, address, slot) {
				break
			}
		}
	}
	if shards > 0 {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.lastDemand = c.now()
	}
}

// announceSlot tells a storage node that the slot is needed, and reports whether it answered.
func (c *Client) announceSlot(ctx context.Context, address string, slot uint32) bool {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	return c.takePermits(ctx, address, PermitRequest{Share: Share{Slot: slot}}) != nil
}
