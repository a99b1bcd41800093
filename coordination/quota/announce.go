package quota

import (
	"context"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// announcePause is the pause between two checks whether slots must be announced.
	// Chosen, not measured.
	announcePause = time.Second
	// announceAfter is how long no request may have asked for a permit before slots
	// are announced. It is less than interestTime, after which they would lapse.
	announceAfter = 5 * time.Second
)

// Announcer keeps every slot held while no request needs it: a new holder begins with
// an empty bucket, so that the first requests after a pause would be refused. It is a
// suture service.
type Announcer struct {
	client *Client
	// isNeeded tells that there are tenants.
	isNeeded func() bool
}

// NewAnnouncer makes an announcer.
func NewAnnouncer(client *Client, isNeeded func() bool) *Announcer {
	return &Announcer{client: client, isNeeded: isNeeded}
}

// String names the service in the supervisor's messages.
func (a *Announcer) String() string { return "announcer of quotas" }

// Serve announces until the context ends.
func (a *Announcer) Serve(ctx context.Context) error {
	for sleep.For(ctx, sleep.Jitter(announcePause)) == nil {
		if a.isNeeded() && a.client.isIdle() {
			a.client.announce(ctx)
		}
	}
	return ctx.Err()
}

// isIdle tells that no request has asked for a permit for a while.
func (c *Client) isIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now().Sub(c.askedAt) > announceAfter
}

// announce tells storage nodes that the slots are needed.
func (c *Client) announce(ctx context.Context) {
	shards := c.views.Shards()
	for slot := range shards {
		view, known := c.views.View(slot)
		if !known {
			return
		}
		for _, address := range c.order(view) {
			if c.askMember(ctx, address, Ask{Part: Part{Slot: slot}}) != nil {
				break
			}
		}
	}
	if shards > 0 {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.askedAt = c.now()
	}
}
