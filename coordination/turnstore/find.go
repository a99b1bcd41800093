package turnstore

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
)

const (
	// shardReadTimeout limits the read of one shard. It allows for two slow members and
	// for a change of the replica set. A lookup of several shards has no limit of its
	// own: it fails early only if one of them can't be read.
	shardReadTimeout = 800 * time.Millisecond
	// maxTurnsPerRead is the maximum number of turns that one request reads. The turns of
	// requests that were answered stay in the cache if the lookup as a whole times out.
	maxTurnsPerRead = 64
	// maxConcurrentShardReads is the maximum number of shards that one lookup reads
	// concurrently.
	maxConcurrentShardReads = 16
)

// find returns the turns in the order of their ids. It reads the home shard first, and
// then the other shards until it has found all turns.
func (s *Store) find(ctx context.Context, home uint32, ids []string) ([]*statev1.RetainedTurn, error) {
	turns := make([]*statev1.RetainedTurn, len(ids))
	missing := s.fillFromCache(ids, turns)
	var lacking []performers
	if len(missing) > 0 {
		answered, err := s.readShards(ctx, []uint32{home}, ids, turns, missing, nearestOnly)
		if err != nil {
			return nil, err
		}
		lacking = answered
		missing = s.fillFromCache(ids, turns)
	}
	if len(missing) > 0 {
		answered, err := s.readShards(ctx, s.otherShards(home), ids, turns, missing, quorumFirst)
		if err != nil {
			return nil, err
		}
		lacking = append(lacking, answered...)
	}
	if missing = s.fillFromCache(ids, turns); len(missing) > 0 {
		return nil, merry.Prependf(ErrTurnNotFound, "turn %q, lacking at %v", missing[0], lacking)
	}
	return turns, nil
}

// otherShards returns all shards but the home shard.
func (s *Store) otherShards(home uint32) []uint32 {
	var others []uint32
	for shard := range s.views.Shards() {
		if shard != home {
			others = append(others, shard)
		}
	}
	return others
}

// fillFromCache fills in cached turns and returns the ids of the turns that are still
// missing.
func (s *Store) fillFromCache(ids []string, turns []*statev1.RetainedTurn) (missing []string) {
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

// readShards reads the missing turns from the shards concurrently and fills in those that
// it finds. It ends as soon as none is missing. If it returns no error, the shards don't
// have the turns that it left out, as the returned members answered.
func (s *Store) readShards(ctx context.Context, shards []uint32, ids []string, turns []*statev1.RetainedTurn, missing []string, first fanOut) ([]performers, error) {
	found := &foundTurns{wanted: len(missing), turns: make(map[string]*statev1.RetainedTurn, len(missing))}
	reads, ctx := errgroup.WithContext(ctx)
	reads.SetLimit(maxConcurrentShardReads)
	for _, shard := range shards {
		reads.Go(func() error { return s.readShard(ctx, shard, missing, found, first) })
	}
	err := reads.Wait()
	if found.isComplete() {
		err = nil
	}
	s.fill(ids, turns, found)
	return found.lackingAt(), err
}

// errAllFound cancels the reads of other shards once all turns are found.
var errAllFound = errors.New("all turns are found")

// readShard reads the missing turns from one shard. It returns errAllFound once all turns
// are found.
func (s *Store) readShard(ctx context.Context, shard uint32, missing []string, found *foundTurns, first fanOut) error {
	if found.isComplete() {
		return errAllFound
	}
	ctx, cancel := context.WithTimeout(ctx, shardReadTimeout)
	defer cancel()
	answered, err := s.retryUntilQuorum(ctx, shard, func(ctx context.Context, member register.Member, fence register.Fence) (bool, archive.Reply, error) {
		return s.readMember(ctx, member, fence, missing, found)
	}, first)
	if err == nil && found.isComplete() {
		return errAllFound
	}
	if err == nil {
		found.addLacking(answered)
	}
	return err
}

// fill copies the found turns to the result, at the index of their id, and to the cache.
func (s *Store) fill(ids []string, turns []*statev1.RetainedTurn, found *foundTurns) {
	found.mutex.Lock()
	defer found.mutex.Unlock()
	for _, id := range ids {
		if turn := found.turns[id]; turn != nil {
			s.cache.put(turn)
		}
	}
	// Taken from the found turns, since the cache may have evicted some of them.
	for index, id := range ids {
		if turns[index] == nil {
			turns[index] = found.turns[id]
		}
	}
}

// readMember reads the turns that aren't found yet from one member, in requests of bounded
// size, and adds them to the found turns. It returns true once all turns are found.
func (s *Store) readMember(ctx context.Context, member register.Member, fence register.Fence, ids []string, found *foundTurns) (bool, archive.Reply, error) {
	var reply archive.Reply
	for batch := range slices.Chunk(found.without(ids), maxTurnsPerRead) {
		stored, answer, err := s.replicas.ReadMany(ctx, member, fence, batch)
		if err != nil || answer.Refusal != register.RefusalNone {
			return false, answer, err
		}
		reply = answer
		for _, storedTurn := range stored {
			// The member counts as failed if a copy can't be decoded: others may have a valid
			// one.
			turn, err := s.codec.Decode(storedTurn.Program, storedTurn.Object, storedTurn.Digest)
			if err != nil {
				return false, reply, errors.Join(errUnusable, err)
			}
			found.add(turn)
		}
	}
	return found.isComplete(), reply, nil
}

// foundTurns collects turns by id. It is safe for concurrent use: requests to several
// members add to it, some after their round has ended.
type foundTurns struct {
	wanted int

	mutex sync.Mutex
	turns map[string]*statev1.RetainedTurn
	// lacking are the quorums that don't have all wanted turns.
	lacking []performers
}

func (f *foundTurns) add(whole *statev1.RetainedTurn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.turns[whole.GetId()] = whole
}

// without returns those of the ids whose turns aren't found.
func (f *foundTurns) without(ids []string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return f.turns[id] != nil })
}

func (f *foundTurns) addLacking(answered performers) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lacking = append(f.lacking, answered)
}

func (f *foundTurns) lackingAt() []performers {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.lacking
}

func (f *foundTurns) isComplete() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.turns) == f.wanted
}
