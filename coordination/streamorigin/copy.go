package streamorigin

import (
	"context"
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// maxCopies is the number of records that wait to be copied, and of those that are being
	// copied at a time.
	maxCopies = 2000
	// copyTries is how often a node is sent a record, copyPause the pause after the first
	// try. It doubles with each.
	copyTries = 5
	copyPause = 500 * time.Millisecond
)

// Copy copies the record to all members of its replica set, so that the loss of one loses no
// record. The origin must not change any more. It doesn't wait: Serve sends the copies. It
// returns false if too many records wait already.
func (c *Client) Copy(record Record) bool {
	select {
	case c.copies <- record:
		return true
	default:
		return false
	}
}

// Serve copies records until the context ends. It implements suture.Service.
func (c *Client) Serve(ctx context.Context) error {
	var copying sync.WaitGroup
	defer copying.Wait()
	slots := make(chan struct{}, maxCopies)
	for {
		select {
		case record := <-c.copies:
			slots <- struct{}{}
			copying.Go(func() {
				defer func() { <-slots }()
				c.copyToMembers(ctx, record)
			})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// copyToMembers sends the record to each member until it has confirmed it. The members may
// not be known at first.
func (c *Client) copyToMembers(ctx context.Context, record Record) {
	confirmed := make(map[string]bool)
	pause := copyPause
	for range copyTries {
		view, known := c.view(record.Key)
		c.copyToUnconfirmed(ctx, view.Members, record, confirmed)
		if known && len(confirmed) >= len(view.Members) || sleep.For(ctx, pause) != nil {
			return
		}
		pause *= 2
	}
}

// copyToUnconfirmed sends the record to the members that haven't confirmed it, and adds those
// that do.
func (c *Client) copyToUnconfirmed(ctx context.Context, members []register.Member, record Record, confirmed map[string]bool) {
	results := make([]error, len(members))
	var sending sync.WaitGroup
	for index, member := range members {
		if !confirmed[member.Address] {
			sending.Go(func() { results[index] = c.recordAt(ctx, member.Address, record) })
		}
	}
	sending.Wait()
	for index, member := range members {
		if results[index] == nil {
			confirmed[member.Address] = true
		}
	}
}
