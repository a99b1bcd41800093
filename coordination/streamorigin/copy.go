package streamorigin

import (
	"context"
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// maxCopies is the number of records that wait to be copied, maxRepeats that of those that a
	// node hasn't confirmed at first.
	maxCopies  = 2000
	maxRepeats = 2000
	// copyPause is the pause before a record is sent again. It doubles with each try, up to
	// maxCopyPause.
	copyPause    = 500 * time.Millisecond
	maxCopyPause = 4 * time.Second
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
	repeats := make(chan struct{}, maxRepeats)
	for {
		select {
		case record := <-c.copies:
			copying.Go(func() { c.copyToMembers(ctx, record, repeats) })
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// copyToMembers sends the record to each member until it has confirmed it. The members may not be
// known at first. If too many records are sent again already, this one isn't.
func (c *Client) copyToMembers(ctx context.Context, record Record, repeats chan struct{}) {
	record.IsFinal = true
	confirmed := make(map[string]bool)
	if c.copyToUnconfirmed(ctx, record, confirmed) {
		return
	}
	select {
	case repeats <- struct{}{}:
	default:
		return
	}
	defer func() { <-repeats }()
	for pause := copyPause; pause <= maxCopyPause; pause *= 2 {
		if sleep.For(ctx, pause) != nil || c.copyToUnconfirmed(ctx, record, confirmed) {
			return
		}
	}
}

// copyToUnconfirmed sends the record to the members that haven't confirmed it, adds those that
// do, and reports whether all have.
func (c *Client) copyToUnconfirmed(ctx context.Context, record Record, confirmed map[string]bool) bool {
	view, known := c.view(record.Key)
	results := make([]error, len(view.Members))
	var sending sync.WaitGroup
	for index, member := range view.Members {
		if !confirmed[member.Address] {
			sending.Go(func() { results[index] = c.recordAt(ctx, member.Address, record) })
		}
	}
	sending.Wait()
	all := known
	for index, member := range view.Members {
		confirmed[member.Address] = results[index] == nil
		all = all && results[index] == nil
	}
	return all
}
