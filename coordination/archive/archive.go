// Package archive stores history turns on a majority of a shard's replicas and
// reads them back. A turn never changes and is named by its digest, so that
// turns need no agreement: a turn that a record refers to was stored on a
// majority before, and whoever reads a majority finds it.
package archive

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/state/history"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/replica"
)

// ErrNoQuorum means that too few replicas answered.
var ErrNoQuorum = merry.Sentinel("archive: too few replicas answered")

// ErrIncomplete means that a majority answered and a turn of the chain wasn't
// among what they hold.
var ErrIncomplete = merry.Sentinel("archive: the history has a gap")

// Reply is what a replica says beside its data.
type Reply struct {
	Refusal register.Refusal
	// View is a newer view of the shard, or nil.
	View *register.View
}

// Replicas talks to the members of a replica set.
type Replicas interface {
	PutTurn(ctx context.Context, member register.Member, fence register.Fence, turn replica.Turn) (Reply, error)
	ReadTurns(ctx context.Context, member register.Member, fence register.Fence, program string, from uint64) ([]replica.Turn, Reply, error)
}

// Views gives the replica sets.
type Views interface {
	View(shard uint32) (register.View, bool)
	Learn(view register.View)
	ConfigurationVersion() uint64
}

// Archive implements the history store of call execution.
type Archive struct {
	replicas Replicas
	views    Views
	locate   func(root string) uint32
	cache    *history.Cache
}

// New makes an archive that keeps assembled chains in the cache.
func New(replicas Replicas, views Views, locate func(root string) uint32, cache *history.Cache) *Archive {
	return &Archive{replicas: replicas, views: views, locate: locate, cache: cache}
}

const (
	// rounds bounds how often a request is sent anew after a replica named a
	// newer view.
	rounds = 4
	// roundPause is the pause between rounds that no newer view explains.
	roundPause = 20 * time.Millisecond
)

// Put stores the turn on a majority and returns its digest.
func (a *Archive) Put(ctx context.Context, turn *statev1.Turn) ([]byte, error) {
	object, digest, err := history.Encode(turn)
	if err != nil {
		return nil, err
	}
	stored := replica.Turn{Program: turn.GetProgram(), Sequence: turn.GetSequence(), Digest: digest, Object: object}
	err = a.onMajority(ctx, turn.GetProgram(), func(ctx context.Context, member register.Member, fence register.Fence) (Reply, error) {
		return a.replicas.PutTurn(ctx, member, fence, stored)
	})
	if err != nil {
		return nil, merry.Prependf(err, "storing turn %d of program %q", turn.GetSequence(), turn.GetProgram())
	}
	a.extend(turn, digest)
	return digest.Bytes(), nil
}

// extend adds the turn to the cached chain that it follows.
func (a *Archive) extend(turn *statev1.Turn, digest history.Digest) {
	chain, found := a.cache.Lookup(turn.GetProgram(), turn.GetPrevious())
	if !found {
		return
	}
	if longer, err := chain.Extend(turn.GetProgram(), turn, digest); err == nil {
		a.cache.Store(turn.GetProgram(), longer)
	}
}

// Turn returns one turn of the program by its digest.
func (a *Archive) Turn(ctx context.Context, id string, sequence uint64, digest []byte) (*statev1.Turn, error) {
	if chain, found := a.cache.Lookup(id, digest); found && chain != nil {
		return chain.Newest(), nil
	}
	wanted, err := history.ParseDigest(digest)
	if err != nil {
		return nil, err
	}
	stored, err := a.read(ctx, id, sequence, func(found []replica.Turn) bool { return indexOf(found, wanted) >= 0 })
	if err != nil {
		return nil, err
	}
	index := indexOf(stored, wanted)
	if index < 0 {
		return nil, merry.Prependf(ErrIncomplete, "turn %d of program %q", sequence, id)
	}
	return history.Decode(stored[index].Object, wanted)
}

func indexOf(turns []replica.Turn, digest history.Digest) int {
	return slices.IndexFunc(turns, func(turn replica.Turn) bool { return turn.Digest == digest })
}

// Chain returns the program's verified history up to the head.
func (a *Archive) Chain(ctx context.Context, id string, head []byte) (*history.Chain, error) {
	if chain, found := a.cache.Lookup(id, head); found {
		return chain, nil
	}
	var turns []*statev1.Turn
	var assembleErr error
	_, err := a.read(ctx, id, 0, func(found []replica.Turn) bool {
		var missing []history.Digest
		turns, missing, assembleErr = history.Assemble(id, head, slices.Values(found))
		return assembleErr == nil && len(missing) == 0
	})
	if err != nil {
		return nil, err
	}
	chain, err := history.NewChain(id, head, turns)
	if err != nil {
		return nil, err
	}
	a.cache.Store(id, chain)
	return chain, nil
}

// read gathers the program's turns from one replica after another until enough
// says that they suffice. A majority that doesn't suffice is a gap.
func (a *Archive) read(ctx context.Context, id string, from uint64, enough func([]replica.Turn) bool) ([]replica.Turn, error) {
	var lastErr error
	for round := range rounds {
		found, answered, needed, err := a.readRound(ctx, id, from, enough)
		if enough(found) {
			return found, nil
		}
		if answered >= needed {
			return nil, merry.Prependf(ErrIncomplete, "program %q, %d turns from %d replicas", id, len(found), answered)
		}
		lastErr = err
		if round+1 < rounds && sleep.For(ctx, roundPause) != nil {
			break
		}
	}
	return nil, noQuorum(lastErr, "reading the history of program %q", id)
}

func (a *Archive) readRound(ctx context.Context, id string, from uint64, enough func([]replica.Turn) bool) (found []replica.Turn, answered, needed int, err error) {
	shard := a.locate(program.RootOf(id))
	view, known := a.views.View(shard)
	if !known {
		return nil, 0, 1, merry.Errorf("no view of shard %d", shard)
	}
	for _, member := range view.Members {
		turns, reply, readErr := a.replicas.ReadTurns(ctx, member, a.fence(view, member), id, from)
		if readErr = a.heed(reply, readErr); readErr != nil {
			err = readErr
			continue
		}
		answered++
		found = append(found, turns...)
		if enough(found) {
			break
		}
	}
	return found, answered, view.Quorum(), err
}

func (a *Archive) fence(view register.View, member register.Member) register.Fence {
	return register.Fence{
		Shard:                view.Shard,
		Epoch:                view.Epoch,
		ConfigurationVersion: a.views.ConfigurationVersion(),
		Replica:              member.Incarnation,
	}
}

// heed learns what a refusing replica knows and makes the refusal an error.
func (a *Archive) heed(reply Reply, err error) error {
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

type memberAction func(ctx context.Context, member register.Member, fence register.Fence) (Reply, error)

// onMajority runs the action at all members at once and returns as soon as a
// majority has granted it.
func (a *Archive) onMajority(ctx context.Context, id string, action memberAction) error {
	var lastErr error
	for round := range rounds {
		shard := a.locate(program.RootOf(id))
		view, known := a.views.View(shard)
		if !known {
			return noQuorum(merry.Errorf("no view of shard %d", shard), "program %q", id)
		}
		if lastErr = a.once(ctx, view, action); lastErr == nil {
			return nil
		}
		if round+1 < rounds && sleep.For(ctx, roundPause) != nil {
			break
		}
	}
	return noQuorum(lastErr, "program %q", id)
}

func (a *Archive) once(ctx context.Context, view register.View, action memberAction) error {
	outcomes := make(chan error, len(view.Members))
	for _, member := range view.Members {
		go func() {
			reply, err := action(ctx, member, a.fence(view, member))
			outcomes <- a.heed(reply, err)
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

func noQuorum(cause error, format string, args ...any) error {
	return merry.Wrap(ErrNoQuorum, merry.WithCause(cause), merry.AppendMessagef(format+": %v", append(args, cause)...))
}
