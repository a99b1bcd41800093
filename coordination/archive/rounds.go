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
	// rounds bounds how often a request is sent: a replica that refuses may have named
	// a newer view (chosen, not measured).
	rounds = 4
	// roundPause is the pause between rounds (chosen, not measured).
	roundPause = 20 * time.Millisecond
)

// read collects the program's turns from one replica after another until enough says
// that they suffice. If a majority answered and they don't suffice, there is a gap.
func (a *Archive) read(ctx context.Context, id string, from uint64, enough func([]replica.Turn) bool) ([]replica.Turn, error) {
	var lastErr error
	for round := range rounds {
		result := a.readRound(ctx, id, from, enough)
		if enough(result.found) {
			return result.found, nil
		}
		if result.answered >= result.needed {
			return nil, merry.Prependf(ErrIncomplete, "program %q, %d turns from %d replicas", id, len(result.found), result.answered)
		}
		lastErr = result.err
		if round+1 < rounds && sleep.For(ctx, roundPause) != nil {
			break
		}
	}
	return nil, noQuorum(lastErr, "reading the history of program %q", id)
}

// readResult is what the replicas of one round answered.
type readResult struct {
	found []replica.Turn
	// answered is how many replicas answered, needed how many are a majority.
	answered int
	needed   int
	// err is the error of the replica that failed last.
	err error
}

func (a *Archive) readRound(ctx context.Context, id string, from uint64, enough func([]replica.Turn) bool) readResult {
	shard := a.locate(program.RootOf(id))
	view, known := a.views.View(shard)
	if !known {
		return readResult{needed: 1, err: merry.Errorf("no view of shard %d", shard)}
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

// checkReply learns the view that a reply names and makes a refusal an error.
func (a *Archive) checkReply(reply Reply, err error) error {
	if err != nil {
		return err
	}
	if reply.View != nil {
		a.views.Learn(*reply.View)
	}
	if reply.Refusal != register.RefusalNone {
		return merry.Errorf("replica refused: %s", reply.Refusal)
	}
	return nil
}

// memberAction is one request to one member.
type memberAction func(ctx context.Context, member register.Member, fence register.Fence) (Reply, error)

// onMajority repeats rounds of the action until a majority has granted it.
func (a *Archive) onMajority(ctx context.Context, id string, action memberAction) error {
	var lastErr error
	for round := range rounds {
		shard := a.locate(program.RootOf(id))
		view, known := a.views.View(shard)
		if !known {
			return noQuorum(merry.Errorf("no view of shard %d", shard), "program %q", id)
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

// askAll runs the action at all members at once and returns as soon as a majority has
// granted it, or so many have refused that none can.
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

// noQuorum returns ErrNoQuorum with its cause, which errors.Is finds as well.
func noQuorum(cause error, format string, args ...any) error {
	return merry.Wrap(ErrNoQuorum, merry.WithCause(cause), merry.AppendMessagef(format+": %v", append(args, cause)...))
}
