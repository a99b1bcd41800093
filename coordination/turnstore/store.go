// Package turnstore keeps whole turns on a quorum of replicas and puts the line
// of turns before a new one together. A turn never changes, so storing it needs
// no agreement: one that was stored is found by whoever asks a quorum, and what
// a quorum doesn't know was never told to a caller as whole.
package turnstore

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
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
	ReadTurns(ctx context.Context, member register.Member, fence register.Fence, program string, from uint64) ([]replica.Turn, archive.Reply, error)
}

// Views gives the replica sets. shard.Map is one.
type Views interface {
	View(shard uint32) (register.View, bool)
	Learn(view register.View)
	Locate(id string) uint32
}

const (
	// sequence is that of every turn: each one is stored under its own id.
	sequence = 1
	// hedgeDelay is how long the preferred members may take before others are
	// asked as well.
	hedgeDelay = 150 * time.Millisecond
	// roundPause lies between two rounds that no newer view explains.
	roundPause = 30 * time.Millisecond
)

// Store stores and finds turns. It is safe for concurrent use.
type Store struct {
	zone     string
	replicas Replicas
	views    Views
	codec    *turn.Codec
	cache    *cache
}

// New makes a store for a node of the zone that remembers up to cacheBytes of
// turns.
func New(zone string, replicas Replicas, views Views, cacheBytes int) (*Store, error) {
	codec, err := turn.NewCodec()
	if err != nil {
		return nil, err
	}
	return &Store{zone: zone, replicas: replicas, views: views, codec: codec, cache: newCache(cacheBytes)}, nil
}

// Put stores the turn on a quorum, trying until the context ends.
func (s *Store) Put(ctx context.Context, whole *statev1.RetainedTurn) error {
	object, digest, err := s.codec.Encode(whole)
	if err != nil {
		return err
	}
	stored := replica.Turn{Program: whole.GetId(), Sequence: sequence, Digest: digest, Object: object}
	err = s.untilQuorum(ctx, whole.GetId(), func(ctx context.Context, member register.Member, fence register.Fence) (bool, archive.Reply, error) {
		reply, err := s.replicas.PutTurn(ctx, member, fence, stored)
		return false, reply, err
	})
	if err != nil {
		return merry.Prependf(err, "storing turn %q", whole.GetId())
	}
	s.cache.put(whole)
	return nil
}

// Line returns the turn with the id and all before it, oldest first.
func (s *Store) Line(ctx context.Context, id string) ([]*statev1.RetainedTurn, error) {
	last, err := s.get(ctx, id)
	if err != nil {
		return nil, err
	}
	line := make([]*statev1.RetainedTurn, len(last.GetAncestors()), len(last.GetAncestors())+1)
	failures := make(chan error, len(line))
	for index, ancestor := range last.GetAncestors() {
		go func() {
			found, err := s.get(ctx, ancestor)
			line[index] = found
			failures <- err
		}()
	}
	for range last.GetAncestors() {
		err = errors.Join(err, <-failures)
	}
	if err != nil {
		return nil, merry.Prependf(err, "the line of turn %q", id)
	}
	return append(line, last), nil
}

func (s *Store) get(ctx context.Context, id string) (*statev1.RetainedTurn, error) {
	if known, found := s.cache.get(id); found {
		return known, nil
	}
	err := s.untilQuorum(ctx, id, func(ctx context.Context, member register.Member, fence register.Fence) (bool, archive.Reply, error) {
		turns, reply, err := s.replicas.ReadTurns(ctx, member, fence, id, 0)
		if err != nil || len(turns) == 0 {
			return false, reply, err
		}
		// A copy that can't be read says nothing about what others have.
		decoded, err := s.decodeAny(id, turns)
		if err == nil {
			s.cache.put(decoded)
		}
		return err == nil, reply, err
	})
	if err != nil {
		return nil, err
	}
	whole, found := s.cache.get(id)
	if !found {
		return nil, merry.Prependf(ErrUnknown, "turn %q", id)
	}
	return whole, nil
}

// decodeAny returns the first turn that can be read.
func (s *Store) decodeAny(id string, turns []replica.Turn) (whole *statev1.RetainedTurn, err error) {
	for _, stored := range turns {
		if whole, err = s.codec.Decode(id, stored.Object, stored.Digest); err == nil {
			return whole, nil
		}
	}
	return nil, err
}

// action is one request to one member. It tells whether its answer suffices by
// itself.
type action func(ctx context.Context, member register.Member, fence register.Fence) (suffices bool, reply archive.Reply, err error)

// untilQuorum repeats rounds until a quorum granted the action, or one answer
// sufficed, or the context ends.
func (s *Store) untilQuorum(ctx context.Context, id string, act action) error {
	last := error(ErrUnavailable)
	for {
		view, known := s.views.View(s.views.Locate(id))
		if known {
			if last = s.round(ctx, view, act); last == nil {
				return nil
			}
		}
		timer := time.NewTimer(roundPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return merry.Wrap(ErrUnavailable, merry.WithCause(last), merry.AppendMessagef("%v", last))
		}
	}
}

// result is what one member answered.
type result struct {
	suffices bool
	err      error
}

// round asks a quorum of the members, those of this node's zone first, and the
// others once one of them fails or is slow: bytes between zones are dear.
func (s *Store) round(ctx context.Context, view register.View, act action) error {
	members := s.preferred(view.Members)
	results := make(chan result, len(members))
	asked := 0
	ask := func(count int) {
		for ; asked < len(members) && count > 0; count-- {
			member := members[asked]
			asked++
			go func() { results <- s.perform(ctx, view, member, act) }()
		}
	}
	ask(view.Quorum())
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	granted, failed := 0, 0
	var last error
	for granted < view.Quorum() {
		select {
		case answered := <-results:
			if answered.err != nil {
				failed++
				last = answered.err
				if failed > len(members)-view.Quorum() {
					return last
				}
				ask(1)
				continue
			}
			granted++
			if answered.suffices {
				return nil
			}
		case <-hedge.C:
			ask(len(members))
		case <-ctx.Done():
			return errors.Join(ctx.Err(), last)
		}
	}
	return nil
}

// perform asks one member. A refusal is an error; what it names is learned.
func (s *Store) perform(ctx context.Context, view register.View, member register.Member, act action) result {
	fence := register.Fence{Shard: view.Shard, Epoch: view.Epoch, Replica: member.Incarnation}
	suffices, reply, err := act(ctx, member, fence)
	if reply.View != nil {
		s.views.Learn(*reply.View)
	}
	if err == nil && reply.Refusal != register.RefusalNone {
		err = merry.Errorf("member %s refused: %s", member.Node, reply.Refusal)
	}
	return result{suffices: suffices, err: err}
}

// preferred puts the members of this node's zone first.
func (s *Store) preferred(members []register.Member) []register.Member {
	ordered := slices.Clone(members)
	slices.SortStableFunc(ordered, func(a, b register.Member) int {
		return distance(a, s.zone) - distance(b, s.zone)
	})
	return ordered
}

func distance(member register.Member, zone string) int {
	if member.Zone == zone {
		return 0
	}
	return 1
}
