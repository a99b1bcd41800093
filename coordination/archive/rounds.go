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
	// rounds is the maximum number of attempts. A retry can succeed after a replica
	// refuses a request and returns a newer view.
	rounds     = 4
	roundPause = 20 * time.Millisecond
)

// read collects the program's turns from one replica after another until enough returns
// true. It returns ErrIncomplete if a majority answered without enough turns.
func (a *Archive) read(ctx context.Context, id string, from uint64, enough func([]replica.Turn) bool) ([]replica.Turn, error) {
	var lastErr error
	for round := range rounds {
		result := a.readRound(ctx, id, from, enough)
		if enough(result.found) {
			return result.found, nil
		}
		if result.answered >= result.needed {
			return nil, merry.Prependf(ErrIncomplete, "reading program %q: %d turns from %d replicas", id, len(result.found), result.answered)
		}
		lastErr = result.err
		if round+1 < rounds && sleep.For(ctx, roundPause) != nil {
			break
		}
	}
	return nil, noQuorum(lastErr, "reading the history of program %q", id)
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

// memberAction sends one request to one member.
type memberAction func(ctx context.Context, member register.Member, fence register.Fence) (Reply, error)

// onMajority retries the action until it succeeds on a majority of the members.
func (a *Archive) onMajority(ctx context.Context, id string, action memberAction) error {
	var lastErr error
	for round := range rounds {
		shard := a.locate(program.RootOf(id))
		view, known := a.views.View(shard)
		if !known {
			return noQuorum(merry.Errorf("the replica set of shard %d is unknown", shard), "program %q", id)
		}
		if lastErr = a.askAll(ctx, view, action); lastErr == nil {
			return nil
		}
		if round+1 < rounds && sleep.For(ctx, roundPause) != nil {
			break
		}
	}
	return noQuorum(lastErr, "program %q", id)
}

// askAll runs the action on all members concurrently. It returns as soon as a majority
// has succeeded or so many have failed that no majority can.
func (a *Archive) askAll(ctx context.Context, view register.View, action memberAction) error {
	outcomes := make(chan error, len(view.Members))
	for _, member := range view.Members {
		go func() {
			reply, err := action(ctx, member, a.fence(view, member))
			outcomes <- a.checkReply(reply, err)
		}()
	}
	granted, refused := 0, 0
	for {
		select {
		case err := <-outcomes:
			if err == nil {
				granted++
			} else {
				refused++
			}
			if granted >= view.Quorum() {
				return nil
			}
			if refused > len(view.Members)-view.Quorum() {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// noQuorum wraps the cause in ErrNoQuorum. errors.Is matches both.
func noQuorum(cause error, format string, args ...any) error {
	return merry.Wrap(ErrNoQuorum, merry.WithCause(cause), merry.AppendMessagef(format+": %v", append(args, cause)...))
}
