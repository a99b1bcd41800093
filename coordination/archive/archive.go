// Package archive stores the turns of a program's history on a majority of a shard's
// replicas and reads them back. Turns are immutable and identified by their digest, so
// they need no consensus: a turn is stored on a majority before a record refers to it,
// and every read of a majority finds it.
//
// The package sends the requests to the replicas and retries them. state/history encodes
// turns and verifies chains, coordination/shard supplies the replica sets and
// transport/peer the client of the replicas.
package archive

import (
	"context"
	"slices"

	"github.com/ansel1/merry/v2"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/history"
	"github.com/marblering/marblering/state/replica"
)

// Errors returned by Archive. Match them with errors.Is.
var (
	// ErrNoQuorum means that too few replicas answered.
	ErrNoQuorum = merry.Sentinel("archive: too few replicas answered")
	// ErrIncomplete means that a majority answered but turns of the chain are missing.
	ErrIncomplete = merry.Sentinel("archive: turns of the history are missing")
)

// Reply is the status part of a replica's response.
type Reply struct {
	// Refusal is register.RefusalNone where the request was carried out.
	Refusal register.Refusal
	// View is a newer view of the shard, or nil.
	View *register.View
	// Missing are the names of ancestors of a stored turn that the replica lacks in the
	// shard.
	Missing []string
}

// Replicas sends requests to the members of a replica set. peer.Client implements it.
type Replicas interface {
	// PutTurn returns after the member has stored the turn durably.
	PutTurn(ctx context.Context, member register.Member, fence register.Fence, turn replica.Turn) (Reply, error)
	// ReadTurns returns the program's turns, starting at the sequence number from.
	ReadTurns(ctx context.Context, member register.Member, fence register.Fence, program string, from uint64) ([]replica.Turn, Reply, error)
}

// Views supplies the replica sets of shards, from shard.Map and the node's
// configuration.
type Views interface {
	// View returns the newest known view of the shard.
	View(shard uint32) (register.View, bool)
	// Learn stores the view if it is newer than the known one.
	Learn(view register.View)
	// ConfigurationVersion returns the version of the configuration that this node
	// uses.
	ConfigurationVersion() uint64
}

// Archive stores and reads histories for coordination/execution. It is safe for
// concurrent use.
type Archive struct {
	replicas Replicas
	views    Views
	locate   func(root string) uint32
	cache    *history.Cache
}

// New returns an archive that caches assembled chains. The locate function returns the
// shard of a root program.
func New(replicas Replicas, views Views, locate func(root string) uint32, cache *history.Cache) *Archive {
	return &Archive{replicas: replicas, views: views, locate: locate, cache: cache}
}

// Put stores the turn on a majority and returns its digest. After ErrNoQuorum the turn
// may still be stored on some replicas.
func (a *Archive) Put(ctx context.Context, turn *statev1.Turn) ([]byte, error) {
	object, digest, err := history.Encode(turn)
	if err != nil {
		return nil, err
	}
	stored := replica.Turn{Program: turn.GetProgram(), Sequence: turn.GetSequence(), Digest: digest, Object: object}
	err = a.runOnMajority(ctx, turn.GetProgram(), func(ctx context.Context, member register.Member, fence register.Fence) (Reply, error) {
		return a.replicas.PutTurn(ctx, member, fence, stored)
	})
	if err != nil {
		return nil, merry.Prependf(err, "storing turn %d of program %q", turn.GetSequence(), turn.GetProgram())
	}
	a.extendCached(turn, digest)
	return digest.Bytes(), nil
}

// extendCached appends the turn to the cached chain of its predecessor, if there is one.
func (a *Archive) extendCached(turn *statev1.Turn, digest history.Digest) {
	chain, found := a.cache.Lookup(turn.GetProgram(), turn.GetPrevious())
	if !found {
		return
	}
	if longer, err := chain.Extend(turn.GetProgram(), turn, digest); err == nil {
		a.cache.Store(turn.GetProgram(), longer)
	}
}

// Turn returns the turn of the program with the sequence number and the digest. It fails
// with ErrNoQuorum, ErrIncomplete or history.ErrCorrupt.
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
		return nil, merry.Prependf(ErrIncomplete, "reading turn %d of program %q", sequence, id)
	}
	return history.Decode(stored[index].Object, wanted)
}

func indexOf(turns []replica.Turn, digest history.Digest) int {
	return slices.IndexFunc(turns, func(turn replica.Turn) bool { return turn.Digest == digest })
}

// Chain returns the program's verified history up to head, the digest of its newest
// turn. It fails with ErrNoQuorum or ErrIncomplete.
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
