package register

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// runBatch applies the calls as one change and gives each its result.
func (c *Client) runBatch(id registerID, calls []*call) {
	pending := newBatch(calls)
	known := c.cache.take(id)
	proposer := NewProposer(c.incarnation, known.counter, pending.change)
	epoch, err := c.runRounds(id, pending, proposer, known)
	entry := cacheEntry{counter: proposer.Counter()}
	if err != nil {
		pending.fail(err)
		c.cache.put(id, entry)
		return
	}
	result := proposer.Result()
	entry.epoch = epoch
	entry.promise = result.Promise
	c.cache.put(id, entry)
	pending.finish(result.Evaluation)
}

// runRounds repeats rounds until one succeeds, Settings.MaxAttempts rounds found no majority
// or no caller waits any more. It returns the epoch of the round that succeeded.
func (c *Client) runRounds(id registerID, pending *batch, proposer *Proposer, known cacheEntry) (uint64, error) {
	// withoutMajority counts the rounds that found no majority, failures all failed ones.
	withoutMajority := 0
	for failures := 0; ; {
		attempt, err := c.newRound(id, pending, proposer)
		if err != nil {
			return 0, err
		}
		if attempt.run(attempt.begin(known, failures)) == StatusDone {
			return attempt.view.Epoch, nil
		}
		failures++
		if attempt.hasLostMajority() {
			withoutMajority++
		}
		if withoutMajority >= c.settings.MaxAttempts {
			return 0, attempt.lastFailure
		}
		if attempt.isFast {
			attempt.updateFastRoundGate()
		}
		if !attempt.learnNewerView() && !attempt.fromPromise && !attempt.isFast {
			c.waitBackoff(failures, pending.abandoned)
		}
		if pending.isAbandoned() {
			return 0, merry.New("every caller abandoned its change")
		}
	}
}

// newRound returns a round over the newest view. It reads the configuration version before
// the round calls the change, so that the fence never names a newer configuration than the
// change has seen.
func (c *Client) newRound(id registerID, pending *batch, proposer *Proposer) (*round, error) {
	version := c.views.ConfigurationVersion()
	view, found := c.views.View(id.shard)
	if !found || len(view.Members) == 0 {
		return nil, merry.Errorf("the replica set of shard %d is unknown", id.shard)
	}
	return &round{
		client:    c,
		id:        id,
		view:      view,
		version:   version,
		proposer:  proposer,
		abandoned: pending.abandoned,
	}, nil
}

// begin starts the proposer's round and returns its first request. The first round of a
// batch uses the promise of an earlier change in the same epoch; a promise of another
// epoch was given by other members. If the register is most likely new, the first round
// skips the prepare.
func (r *round) begin(known cacheEntry, failures int) Request {
	if failures == 0 && known.epoch == r.view.Epoch {
		r.fromPromise = !known.promise.Ballot.IsZero()
		return r.proposer.BeginWithPromise(len(r.view.Members), known.promise)
	}
	if failures == 0 && known.counter == 0 && r.client.fastRounds.allows(r.id.shard) {
		request := r.proposer.BeginFast(len(r.view.Members))
		r.isFast = request.Phase == PhaseAccept
		return request
	}
	return r.proposer.Begin(len(r.view.Members))
}

// updateFastRoundGate suspends fast rounds in the shard if this one found an unreachable
// member. A member that refused because it already holds the register says nothing about
// other registers.
func (r *round) updateFastRoundGate() {
	if r.unreachable > 0 {
		r.client.fastRounds.suspend(r.id.shard)
	}
}

// waitBackoff waits for the backoff after the given number of failures, or until no caller
// waits any more.
func (c *Client) waitBackoff(failures int, abandoned <-chan struct{}) {
	elapsed := make(chan struct{})
	stop := c.clock.AfterFunc(c.backoff(failures), func() { close(elapsed) })
	select {
	case <-elapsed:
	case <-abandoned:
		stop()
	}
}

// requestContext returns a context that ends with the request timeout or when no caller
// waits any more.
func (c *Client) requestContext(abandoned <-chan struct{}) (context.Context, func()) {
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
