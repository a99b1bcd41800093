package turnstore

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
)

// find returns the turns in the order of their ids. It looks in the home shard first,
// then in one shard after another until none is missing.
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

// fromCache fills in the turns that the cache has and returns the ids of those that
// are still missing.
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

// read asks the members of one shard for the missing turns, the nearest member alone
// first, and fills in what they have. If it returns no error, the shard doesn't keep
// the turns that it didn't fill in.
func (s *Store) read(ctx context.Context, shard uint32, ids []string, turns []*statev1.RetainedTurn, missing []string) error {
	found := &foundTurns{wanted: len(missing), turns: make(map[string]*statev1.RetainedTurn, len(missing))}
	err := s.untilQuorum(ctx, shard, func(ctx context.Context, member register.Member, fence register.Fence) (bool, archive.Reply, error) {
		return s.readMember(ctx, member, fence, missing, found)
	}, nearestOnly)
	found.mutex.Lock()
	defer found.mutex.Unlock()
	for _, whole := range found.turns {
		s.cache.put(whole)
	}
	// The cache may have no room for all of them.
	for index, id := range ids {
		if turns[index] == nil {
			turns[index] = found.turns[id]
		}
	}
	return err
}

// readMember asks one member for the turns and adds what it has to those found. It
// returns true where none is missing any more.
func (s *Store) readMember(ctx context.Context, member register.Member, fence register.Fence, ids []string, found *foundTurns) (bool, archive.Reply, error) {
	stored, reply, err := s.replicas.ReadMany(ctx, member, fence, ids)
	if err != nil {
		return false, reply, err
	}
	for _, one := range stored {
		// A copy that can't be decoded says nothing about what other members have.
		whole, err := s.codec.Decode(one.Program, one.Object, one.Digest)
		if err != nil {
			return false, reply, err
		}
		found.add(whole)
	}
	return found.isComplete(), reply, nil
}

// foundTurns collects turns by their ids. Members of one round add to it at once, also
// after the round.
type foundTurns struct {
	wanted int

	mutex sync.Mutex
	turns map[string]*statev1.RetainedTurn
}

func (f *foundTurns) add(whole *statev1.RetainedTurn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.turns[whole.GetId()] = whole
}

func (f *foundTurns) isComplete() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.turns) == f.wanted
}
