// Package turnstore keeps whole turns on a quorum of replicas and puts the turns
// before a new one together. A turn never changes, so storing it needs no agreement: a
// turn that a quorum holds is found by whoever asks a quorum, and a turn that a quorum
// doesn't know was never reported to a caller as stored.
//
// The package owns the rounds of requests to a replica set, the order in which members
// are asked, and a cache of the turns used last. It relies on state/turn for the stored
// form, on coordination/shard for the replica sets, on coordination/multicast for
// hedged requests and on a client of the replicas, which transport/peer has.
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
	// ErrUnknown means that a quorum answered and none of it has the turn.
	ErrUnknown = errors.New("no such turn")
	// ErrUnavailable means that too few replicas answered to be sure.
	ErrUnavailable = errors.New("too few replicas answered")
)

// sequence is the sequence number under which every turn is stored: each turn has an
// id of its own, so that a replica keeps one turn for each id.
const sequence = 1

// Replicas talks to the members of a replica set. peer.Client is one.
type Replicas interface {
	PutTurn(ctx context.Context, member register.Member, fence register.Fence, stored replica.Turn) (archive.Reply, error)
	// ReadMany returns those of the turns that the member has.
	ReadMany(ctx context.Context, member register.Member, fence register.Fence, ids []string) ([]replica.Turn, archive.Reply, error)
}

// Views gives the replica sets. shard.Map is one.
type Views interface {
	// View returns the newest known replica set of the shard.
	View(shard uint32) (register.View, bool)
	// Learn keeps the view if it is newer than the known one.
	Learn(view register.View)
	// Locate returns the shard that keeps the program's turns.
	Locate(program string) uint32
	// Shards returns the number of shards, zero while it isn't known.
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

// New makes a store for a node of the zone. It remembers turns of up to cacheBytes
// bytes of memory. The tracker is told which replicas answer, by their addresses.
func New(zone string, replicas Replicas, views Views, tracker *reach.Tracker, cacheBytes int) (*Store, error) {
	codec, err := turn.NewCodec()
	if err != nil {
		return nil, err
	}
	hedging := multicast.Hedging{
		Kind: hedged, Budget: limit.NewRetryBudget(limit.HedgePolicy(), time.Now()), Reach: tracker, Now: time.Now,
	}
	return &Store{zone: zone, replicas: replicas, views: views, hedging: hedging, codec: codec, cache: newCache(cacheBytes)}, nil
}

// Put stores a turn of the program on a quorum. It retries until the context ends,
// then returns ErrUnavailable; the turn may be stored all the same.
func (s *Store) Put(ctx context.Context, program string, whole *statev1.RetainedTurn) error {
	object, digest, err := s.codec.Encode(whole)
	if err != nil {
		return err
	}
	stored := replica.Turn{Program: whole.GetId(), Sequence: sequence, Digest: digest, Object: object}
	if err := s.awaitSets(ctx); err != nil {
		return err
	}
	err = s.untilQuorum(ctx, s.views.Locate(program), func(ctx context.Context, member register.Member, fence register.Fence) (bool, archive.Reply, error) {
		reply, err := s.replicas.PutTurn(ctx, member, fence, stored)
		return false, reply, err
	}, quorumFirst)
	if err != nil {
		return merry.Prependf(err, "storing turn %q", whole.GetId())
	}
	s.cache.put(whole)
	return nil
}

// Line returns the turn with the id and all turns before it, the oldest first. It looks
// in the shard of the program first and then in all others, since another program may
// have begun the line. It returns ErrUnknown where a turn isn't kept, and
// ErrUnavailable where the context ends before that is certain.
func (s *Store) Line(ctx context.Context, program, id string) ([]*statev1.RetainedTurn, error) {
	if err := s.awaitSetsToRead(ctx); err != nil {
		return nil, err
	}
	home := s.views.Locate(program)
	found, err := s.find(ctx, home, []string{id})
	if err != nil {
		return nil, err
	}
	last := found[0]
	ancestors, err := s.find(ctx, home, last.GetAncestors())
	if err != nil {
		return nil, merry.Prependf(err, "the line of turn %q", id)
	}
	return append(ancestors, last), nil
}

// awaitSetsToRead waits until the replica sets are known, no longer than for a shard.
func (s *Store) awaitSetsToRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.awaitSets(ctx)
}

// awaitSets waits until the replica sets are known. Until then nobody can say in which
// shard a turn is kept.
func (s *Store) awaitSets(ctx context.Context) error {
	for s.views.Shards() == 0 {
		if sleep.For(ctx, roundPause) != nil {
			return merry.Prepend(ErrUnavailable, "no replica set is known")
		}
	}
	return nil
}
