// Package turnstore stores turns on a quorum of replicas and reads a turn with its
// ancestors. Turns are immutable, so storing them needs no consensus: a turn that a quorum
// has stored is found by reading any quorum, and a turn that a quorum doesn't have was
// never reported to a caller as stored. A replica counts towards the quorum of a turn once it
// stores the turn's ancestors as well, in the same shard: the replicas of a quorum keep and
// delete a chain as a whole.
//
// The package implements the rounds of requests to a replica set, the order in which
// members are asked, and a cache of recently used turns. It relies on state/turn for the
// stored form, on coordination/shard for the replica sets, on coordination/multicast for
// hedged requests, and on transport/peer for the client of the replicas.
package turnstore

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/multicast"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/state/turn"
)

var (
	// ErrTurnNotFound means that a quorum answered and no member of it has the turn.
	ErrTurnNotFound = errors.New("no such turn")
	// ErrChainIncomplete means that the turn is stored and a quorum lacks one of its
	// ancestors, which replicas may still fetch from others.
	ErrChainIncomplete = errors.New("an ancestor of the turn isn't found")
	// ErrNoQuorum means that no quorum of the replicas answered.
	ErrNoQuorum = errors.New("too few replicas answered")
)

// turnSequence is the sequence number of every stored turn. Replicas store turns by name
// and sequence number; turns of this package have unique ids, which serve as the name.
const turnSequence = 1

// Replicas is a client of the members of replica sets. peer.Client implements it.
type Replicas interface {
	PutTurn(ctx context.Context, member register.Member, fence register.Fence, stored replica.Turn) (archive.Reply, error)
	// ReadMany returns the turns with the ids that the member has.
	ReadMany(ctx context.Context, member register.Member, fence register.Fence, ids []string) ([]replica.Turn, archive.Reply, error)
}

// Views gives access to the known replica sets. directory.Lookup implements it.
type Views interface {
	// View returns the newest known view of the shard.
	View(shard uint32) (register.View, bool)
	// Learn stores the view if it is newer than the known one.
	Learn(view register.View)
	// Locate returns the shard that keeps the program's turns.
	Locate(program string) uint32
	// Shards returns the number of shards, or zero while it is unknown.
	Shards() uint32
}

// Store stores and finds turns. It is safe for concurrent use.
type Store struct {
	zone     string
	replicas Replicas
	views    Views
	hedging  multicast.Hedging
	codec    *turn.Codec
	cache    *cache
}

// New returns a store for a node in the zone. The store caches turns in up to cacheBytes
// bytes of memory. It reports to the tracker which replicas answer, by address.
func New(zone string, replicas Replicas, views Views, tracker *reach.Tracker, cacheBytes int) (*Store, error) {
	codec, err := turn.NewCodec()
	if err != nil {
		return nil, err
	}
	hedging := multicast.Hedging{
		BudgetKey: hedgeKind, Budget: limit.NewRetryBudget(limit.DefaultHedgePolicy(), time.Now()), Tracker: tracker, Now: time.Now,
	}
	return &Store{zone: zone, replicas: replicas, views: views, hedging: hedging, codec: codec, cache: newCache(cacheBytes)}, nil
}

// Put stores a turn of the program on a quorum, with those of its ancestors that a replica
// lacks. It retries until the context ends and then returns ErrNoQuorum, in which case the
// turn may still have been stored.
func (s *Store) Put(ctx context.Context, program string, retained *statev1.RetainedTurn, ancestors []*statev1.RetainedTurn) error {
	stored, err := s.encode(retained)
	if err != nil {
		return err
	}
	if err := s.awaitReplicaSets(ctx); err != nil {
		return err
	}
	_, err = s.retryUntilQuorum(ctx, s.views.Locate(program), func(ctx context.Context, member register.Member, fence register.Fence) (bool, archive.Reply, error) {
		reply, err := s.replicas.PutTurn(ctx, member, fence, stored)
		if err != nil || reply.Refusal != register.RefusalNone {
			return false, reply, err
		}
		reply, err = s.putAncestors(ctx, member, fence, reply, ancestors)
		return false, reply, err
	}, quorumFirst)
	if err != nil {
		return merry.Prependf(err, "storing turn %q", retained.GetId())
	}
	s.cache.put(retained)
	return nil
}

// History returns the turn with the id and all its ancestors, the oldest first. It reads the
// shard of the program first and then all others, since ancestors may belong to another
// program. It returns ErrTurnNotFound, with the members that answered, if the turn isn't
// stored, ErrChainIncomplete if it is but an ancestor isn't found, and ErrNoQuorum if that
// can't be determined in time.
func (s *Store) History(ctx context.Context, program, id string) ([]*statev1.RetainedTurn, error) {
	if err := s.awaitReplicaSetsForRead(ctx); err != nil {
		return nil, err
	}
	home := s.views.Locate(program)
	found, err := s.find(ctx, home, []string{id})
	if err != nil {
		return nil, err
	}
	last := found[0]
	ancestors, err := s.find(ctx, home, last.GetAncestors())
	if errors.Is(err, ErrTurnNotFound) {
		return nil, merry.Prependf(ErrChainIncomplete, "turn %q: %v", id, err)
	}
	if err != nil {
		return nil, merry.Prependf(err, "reading the ancestors of turn %q", id)
	}
	return append(ancestors, last), nil
}

// awaitReplicaSetsForRead waits until the replica sets are known, for at most
// shardReadTimeout.
func (s *Store) awaitReplicaSetsForRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shardReadTimeout)
	defer cancel()
	return s.awaitReplicaSets(ctx)
}

// awaitReplicaSets waits until the replica sets are known. Until then programs can't be
// assigned to shards.
func (s *Store) awaitReplicaSets(ctx context.Context) error {
	for s.views.Shards() == 0 {
		if sleep.For(ctx, minRoundPause) != nil {
			return merry.Prepend(ErrNoQuorum, "no replica set is known")
		}
	}
	return nil
}
