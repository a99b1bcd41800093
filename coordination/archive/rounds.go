package archive

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/replica"
)

const (
	// maxRounds is the maximum number of attempts. A retry can succeed after a replica
	// refuses a request and returns a newer view.
	maxRounds  = 4
	roundDelay = 20 * time.Millisecond
)

// read collects the program's turns from one replica after another until enough returns
// true. It returns ErrIncomplete if a majority answered without enough turns.
func (a *Archive) read(ctx context.Context, id string, from uint64, enough func([]replica.Turn) bool) ([]replica.Turn, error) {
	var lastErr error
	for round := range maxRounds {
		result := a.readRound(ctx, id, from, enough)
		if enough(result.found) {
			return result.found, nil
		}
		if result.answered >= result.needed {
			return nil, merry.Prependf(ErrIncomplete, "reading program %q: %d turns from %d replicas", id, len(result.found), result.answered)
		}
		lastErr = result.err
		if round+1 < maxRounds && sleep.For(ctx, roundDelay) != nil {
			break
		}
	}
	return nil, wrapNoQuorum(lastErr, "reading the history of program %q", id)
}

// readResult combines the responses of one round of reads.
type readResult struct {
	found []replica.Turn
	// answered counts the replicas that answered; needed is the size of a majority.
	answered int
	needed   int
	// err is the last error of a replica.
	err error
}

func (a *Archive) readRound(ctx context.Context, id string, from uint64, enough func([]replica.Turn) bool) readResult {
	shard := a.locate(program.RootOf(id))
	view, known := a.views.View(shard)
	if !known {
		return readResult{needed: 1, err: merry.Errorf("the replica set of shard %d is unknown", shard)}
	}
	result := readResult{needed: view.Quorum()}
	for _, member := range view.Members {
		turns, reply, err := a.replicas.ReadTurns(ctx, member, a.fence(view, member), id, from)
		if err = a.checkReply(reply, err); err != nil {
			result.err = err
			continue
		}
		result.answered++
		result.found = append(result.found, turns...)
		if enough(result.found) {
			break
		}
	}
	return result
}

func (a *Archive) fence(view register.View, member register.Member) register.Fence {
	return register.Fence{
		Shard:                view.Shard,
		Epoch:                view.Epoch,
		ConfigurationVersion: a.views.ConfigurationVersion(),
		Replica:              member.Incarnation,
	}
}

// checkReply stores the view that a reply contains and returns a refusal as an error.
func (a *Archive) checkReply(reply Reply, err error) error {
	if err != nil {
		return err
	}
	if reply.View != nil {
		a.views.Learn(*reply.View)
	}
	if reply.Refusal != register.RefusalNone {
		return merry.Errorf("replica refused the request: %s", reply.Refusal)
	}
	return nil
}

// memberRequest sends one request to one member.
type memberRequest func(ctx context.Context, member register.Member, fence register.Fence) (Reply, error)

// runOnMajority retries the request until it succeeds on a majority of the members.
func (a *Archive) runOnMajority(ctx context.Context, id string, request memberRequest) error {
	var lastErr error
	for round := range maxRounds {
		shard := a.locate(program.RootOf(id))
		view, known := a.views.View(shard)
		if !known {
			return wrapNoQuorum(merry.Errorf("the replica set of shard %d is unknown", shard), "program %q", id)
		}
		if lastErr = a.requestAll(ctx, view, request); lastErr == nil {
			return nil
		}
		if round+1 < maxRounds && sleep.For(ctx, roundDelay) != nil {
			break
		}
	}
	return wrapNoQuorum(lastErr, "program %q", id)
}

// requestAll sends the request to all members concurrently. It returns as soon as a majority
// has succeeded or so many have failed that no majority can.
func (a *Archive) requestAll(ctx context.Context, view register.View, request memberRequest) error {
	outcomes := make(chan error, len(view.Members))
	for _, member := range view.Members {
		go func() {
			reply, err := request(ctx, member, a.fence(view, member))
			outcomes <- a.checkReply(reply, err)
		}()
	}
	succeeded, failed := 0, 0
	for {
		select {
		case err := <-outcomes:
			if err == nil {
				succeeded++
			} else {
				failed++
			}
			if succeeded >= view.Quorum() {
				return nil
			}
			if failed > len(view.Members)-view.Quorum() {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wrapNoQuorum wraps the cause in ErrNoQuorum. errors.Is matches both.
func wrapNoQuorum(cause error, format string, args ...any) error {
	return merry.Wrap(ErrNoQuorum, merry.WithCause(cause), merry.AppendMessagef(format+": %v", append(args, cause)...))
}
