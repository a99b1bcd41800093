package register

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// runBatch carries out the calls as one change and gives each its result.
func (c *Client) runBatch(id registerID, calls []*call) {
	work := newBatch(calls)
	known := c.cache.take(id)
	proposer := NewProposer(c.incarnation, known.counter, work.change)
	epoch, err := c.runRounds(id, work, proposer, known)
	entry := cacheEntry{counter: proposer.Counter()}
	if err != nil {
		work.fail(err)
		c.cache.put(id, entry)
		return
	}
	result := proposer.Result()
	entry.epoch = epoch
	entry.promise = result.Promise
	c.cache.put(id, entry)
	work.finish(result.Evaluation)
}

// runRounds repeats rounds until one succeeds, Settings.Attempts rounds found no majority
// or nobody waits any more. It returns the epoch of the round that succeeded.
func (c *Client) runRounds(id registerID, work *batch, proposer *Proposer, known cacheEntry) (uint64, error) {
	// lost counts the rounds that found no majority, failures all that failed.
	lost := 0
	for failures := 0; ; {
		attempt, err := c.newRound(id, work, proposer)
		if err != nil {
			return 0, err
		}
		if attempt.run(attempt.begin(known, failures)) == StatusDone {
			return attempt.view.Epoch, nil
		}
		failures++
		if attempt.hasLostMajority() {
			lost++
		}
		if lost >= c.settings.Attempts {
			return 0, attempt.failure
		}
		if attempt.isFresh {
			attempt.judgeFresh()
		}
		if !attempt.learn() && !attempt.fromPromise && !attempt.isFresh {
			c.pause(failures, work.empty)
		}
		if work.isEmpty() {
			return 0, merry.New("every caller gave up")
		}
	}
}

// newRound makes a round of the newest view. It reads the configuration version before
// the round calls the change, so that the fence never names a newer configuration than
// the change has seen.
func (c *Client) newRound(id registerID, work *batch, proposer *Proposer) (*round, error) {
	version := c.views.ConfigurationVersion()
	view, found := c.views.View(id.shard)
	if !found || len(view.Members) == 0 {
		return nil, merry.Errorf("no replica set of shard %d is known", id.shard)
	}
	return &round{
		client:    c,
		id:        id,
		view:      view,
		version:   version,
		proposer:  proposer,
		abandoned: work.empty,
	}, nil
}

// begin starts the proposer's round and returns its first request. The first round of a
// batch uses the promise of an earlier change, unless that is of another epoch, which
// has other members, or skips the prepare where the register is most likely new.
func (r *round) begin(known cacheEntry, failures int) Request {
	if failures == 0 && known.epoch == r.view.Epoch {
		r.fromPromise = !known.promise.Ballot.IsZero()
		return r.proposer.BeginPromised(len(r.view.Members), known.promise)
	}
	if failures == 0 && known.counter == 0 && r.client.fresh.isOpen(r.id.shard) {
		request := r.proposer.BeginFresh(len(r.view.Members))
		r.isFresh = request.Phase == PhaseAccept
		return request
	}
	return r.proposer.Begin(len(r.view.Members))
}

// judgeFresh makes the shard's registers begin with a prepare for a while, where the
// fresh round found a member that can't be reached. A member that refused because it
// holds the register already says nothing about other registers.
func (r *round) judgeFresh() {
	if r.unreachable > 0 {
		r.client.fresh.close(r.id.shard)
	}
}

// pause waits for the backoff after so many failures, or until nobody waits any more.
func (c *Client) pause(failures int, abandoned <-chan struct{}) {
	elapsed := make(chan struct{})
	stop := c.clock.AfterFunc(c.backoff(failures), func() { close(elapsed) })
	select {
	case <-elapsed:
	case <-abandoned:
		stop()
	}
}

// limit returns a context that ends with the request timeout or when nobody
// waits any more.
func (c *Client) limit(abandoned <-chan struct{}) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	stop := c.clock.AfterFunc(c.settings.RequestTimeout, cancel)
	go func() {
		select {
		case <-abandoned:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		stop()
		cancel()
	}
}
