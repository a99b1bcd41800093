// Package turnstore keeps whole turns on a quorum of replicas and puts the line
// of turns before a new one together. A turn never changes, so storing it needs
// no agreement: one that was stored is found by whoever asks a quorum, and what
// a quorum doesn't know was never told to a caller as whole.
package turnstore

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
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

// Replicas talks to the members of a replica set. peer.Client is one.
type Replicas interface {
	PutTurn(ctx context.Context, member register.Member, fence register.Fence, stored replica.Turn) (archive.Reply, error)
	ReadMany(ctx context.Context, member register.Member, fence register.Fence, ids []string) ([]replica.Turn, archive.Reply, error)
}

// Views gives the replica sets. shard.Map is one.
type Views interface {
	View(shard uint32) (register.View, bool)
	Learn(view register.View)
	Locate(program string) uint32
	Shards() uint32
}

const (
	// sequence is that of every turn: each one is stored under its own id.
	sequence = 1
	// roundPause lies between the first two rounds and doubles with each up to
	// longestPause: while a set changes, none gets through, and the copies that
	// members refuse are work for nodes that are busy with the change.
	roundPause   = 30 * time.Millisecond
	longestPause = 200 * time.Millisecond
)

// Store stores and finds turns. It is safe for concurrent use.
type Store struct {
	zone     string
	replicas Replicas
	views    Views
	hedging  multicast.Hedging
	codec    *turn.Codec
	cache    *cache
}

// New makes a store for a node of the zone that remembers up to cacheBytes of
// turns. The tracker is told which replicas answer.
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

// Put stores a turn of the program on a quorum, trying until the context ends.
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

// Line returns the turn with the id and all before it, oldest first. They are
// looked for where turns of the program are kept, and then everywhere: another
// program may have begun the line.
func (s *Store) Line(ctx context.Context, program, id string) ([]*statev1.RetainedTurn, error) {
	if err := s.awaitSets(ctx); err != nil {
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

// awaitSets waits until the replica sets are known: before, nothing can be said
// of where a turn is kept.
func (s *Store) awaitSets(ctx context.Context) error {
	for s.views.Shards() == 0 {
		if sleep.For(ctx, roundPause) != nil {
			return merry.Prepend(ErrUnavailable, "no replica set is known")
		}
	}
	return nil
}

// find returns the turns in the order of their ids, looking in the home shard
// first.
func (s *Store) find(ctx context.Context, home uint32, ids []string) ([]*statev1.RetainedTurn, error) {
	turns := make([]*statev1.RetainedTurn, len(ids))
	missing := s.fromCache(ids, turns)
	if len(missing) > 0 {
		if err := s.read(ctx, home, ids, turns, missing); err != nil {
			return nil, err
		}
	}
	for shard := uint32(0); shard < s.views.Shards(); shard++ {
		if missing = s.fromCache(ids, turns); len(missing) == 0 {
			break
		}
		if shard == home {
			continue
		}
		if err := s.read(ctx, shard, ids, turns, missing); err != nil {
			return nil, err
		}
	}
	if missing = s.fromCache(ids, turns); len(missing) > 0 {
		return nil, merry.Prependf(ErrUnknown, "turn %q", missing[0])
	}
	return turns, nil
}

// fromCache fills in the turns that are remembered and returns the ids of those
// that are still missing.
func (s *Store) fromCache(ids []string, turns []*statev1.RetainedTurn) (missing []string) {
	for index, id := range ids {
		if turns[index] == nil {
			turns[index], _ = s.cache.get(id)
		}
		if turns[index] == nil {
			missing = append(missing, id)
		}
	}
	return missing
}

// read asks the members of one shard, the nearest alone first, and fills in what
// they have of the missing turns. Without error, what isn't filled in isn't kept
// in the shard.
func (s *Store) read(ctx context.Context, shard uint32, ids []string, turns []*statev1.RetainedTurn, missing []string) error {
	var mutex sync.Mutex
	found := make(map[string]*statev1.RetainedTurn, len(missing))
	err := s.untilQuorum(ctx, shard, func(ctx context.Context, member register.Member, fence register.Fence) (bool, archive.Reply, error) {
		stored, reply, err := s.replicas.ReadMany(ctx, member, fence, missing)
		if err != nil {
			return false, reply, err
		}
		for _, one := range stored {
			// A copy that can't be read says nothing about what others have.
			whole, err := s.codec.Decode(one.Program, one.Object, one.Digest)
			if err != nil {
				return false, reply, err
			}
			mutex.Lock()
			found[whole.GetId()] = whole
			mutex.Unlock()
		}
		mutex.Lock()
		defer mutex.Unlock()
		return len(found) == len(missing), reply, nil
	}, nearestOnly)
	mutex.Lock()
	defer mutex.Unlock()
	for _, whole := range found {
		s.cache.put(whole)
	}
	// What was found also stays where the cache has no room.
	for index, id := range ids {
		if turns[index] == nil {
			turns[index] = found[id]
		}
	}
	return err
}

// fanOut says how many members of a view are asked at first.
type fanOut func(view register.View) int

// quorumFirst suits writes, which need a quorum; nearestOnly reads, of which one
// answer mostly suffices.
func quorumFirst(view register.View) int { return view.Quorum() }
func nearestOnly(register.View) int      { return 1 }

// untilQuorum repeats rounds until a quorum granted the action, or one answer
// sufficed, or the context ends.
func (s *Store) untilQuorum(ctx context.Context, shard uint32, act action, first fanOut) error {
	last := error(ErrUnavailable)
	for pause := roundPause; ; pause = min(2*pause, longestPause) {
		view, known := s.views.View(shard)
		if known {
			if last = s.round(ctx, view, act, first(view)); last == nil {
				return nil
			}
		}
		if sleep.For(ctx, pause) != nil {
			return merry.Wrap(ErrUnavailable, merry.WithCause(last), merry.AppendMessagef("%v", last))
		}
	}
}

// preferred puts the members of this node's zone first, and those that failed
// lately last.
func (s *Store) preferred(members []register.Member) []register.Member {
	ordered := slices.Clone(members)
	slices.SortStableFunc(ordered, func(a, b register.Member) int {
		return cmp.Or(s.hedging.Reach.Compare(a.Address, b.Address), distance(a, s.zone)-distance(b, s.zone))
	})
	return ordered
}

func distance(member register.Member, zone string) int {
	if member.Zone == zone {
		return 0
	}
	return 1
}
