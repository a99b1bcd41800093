package quarantine

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// watchWait is how long a storage node may hold a call until there are changes, and
	// watchGrace the time beyond it after which the call fails.
	watchWait  = 8 * time.Second
	watchGrace = time.Second
	// minWatchPause is the pause after the first failed call to a node. It doubles with each
	// further one up to maxWatchPause.
	minWatchPause = 100 * time.Millisecond
	maxWatchPause = 500 * time.Millisecond
	// memberInterval is the pause between two looks at who the members are.
	memberInterval = 200 * time.Millisecond
)

// Follower follows the tables of all members of the replica set, so that a crash that a
// majority has counted is known if one of these members can be reached. It is a
// suture.Service, and ends once no call to a storage node runs.
type Follower struct{ client *Client }

// Follower returns the follower of the client.
func (c *Client) Follower() *Follower { return &Follower{client: c} }

// Serve follows the tables until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	followed := make(map[string]*watch)
	defer f.client.running.Wait()
	defer func() {
		for _, current := range followed {
			current.end()
		}
	}()
	for {
		f.client.tick()
		members := f.client.memberAddresses()
		for address, current := range followed {
			if !slices.Contains(members, address) {
				current.end()
				f.client.copies.drop(address)
				delete(followed, address)
			}
		}
		for _, address := range members {
			if followed[address] == nil {
				followed[address] = f.start(ctx, address)
			}
		}
		if err := sleep.For(ctx, memberInterval); err != nil {
			return err
		}
	}
}

// watch is the goroutine that follows one table.
type watch struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (f *Follower) start(ctx context.Context, address string) *watch {
	ctx, cancel := context.WithCancel(ctx)
	started := &watch{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		f.follow(ctx, address)
	}()
	return started
}

// end ends the goroutine and waits for it.
func (w *watch) end() {
	w.cancel()
	<-w.done
}

// memberAddresses returns the addresses of the members; none until the replica sets are
// known.
func (c *Client) memberAddresses() []string {
	view, _ := c.views.View(c.views.Locate(location))
	addresses := make([]string, 0, len(view.Members))
	for _, member := range view.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// follow follows the table of one node until the context ends.
func (f *Follower) follow(ctx context.Context, address string) {
	var from Cursor
	pause := time.Duration(0)
	for ctx.Err() == nil {
		changes, err := f.ask(ctx, address, from)
		if err == nil {
			f.client.learn(ctx, address, changes)
			from, pause = changes.Next, 0
			continue
		}
		if pause == 0 && ctx.Err() == nil {
			f.client.logger.Info("crashes at storage node not followed", zap.String("address", address), zap.Error(err))
		}
		pause = min(max(2*pause, minWatchPause), maxWatchPause)
		_ = sleep.For(ctx, pause)
	}
}

func (f *Follower) ask(ctx context.Context, address string, from Cursor) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	return f.client.nodes.WatchCrashes(ctx, address, f.client.id, from, watchWait)
}
