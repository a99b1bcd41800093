// Package expiry keeps the turns of a replica for their retention and deletes them
// afterwards.
//
// A replica needs a turn for the turn's own retention and for that of each descendant that
// it stores. When a turn is stored, Store reports the ancestors that the replica lacks in
// the shard, and package turnstore stores these there as well before the turn counts as
// stored. So each copy of a turn has its whole chain beside it, and a replica can delete by
// what it stores itself: it needs no message about descendants at other replicas.
//
// If an operator raises the retention of a route, the stored turns of the route are kept for
// the longer time. If it is lowered, they are kept for the retention with which they were
// stored.
//
// Until when a turn is needed is only kept in memory. After a restart the turns on the disk
// count as stored at that moment, which only keeps them longer.
package expiry

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/state/turn"
)

const (
	// retentionFactor multiplies the retention of a turn: gateways of earlier versions
	// store no missing ancestors, so descendants of a turn may be at other replicas only.
	retentionFactor = 3
	// retentionMargin extends the retention for responses that end late.
	retentionMargin = 30 * time.Second
	// lackingGrace is how long a gateway may take to store the ancestors that are missing
	// after it has stored a turn.
	lackingGrace = 2 * time.Second
	// maxRetention limits a retention, so that times of turns don't overflow.
	maxRetention = 90 * 365 * 24 * time.Hour
	// defaultRetention applies to turns that specify no retention or can't be decoded.
	defaultRetention = 10 * time.Minute
)

// Options configures a Store.
type Options struct {
	// Store is the store of the replica. All turns are written through the new Store.
	Store replica.Store
	// Shards returns the number of shards.
	Shards func() uint32
	Now    func() time.Time
	Logger *zap.Logger
}

// Store is a replica.Store that records until when each turn is needed. It is safe for
// concurrent use.
type Store struct {
	replica.Store
	options Options
	codec   *turn.Codec

	// deletions is read-locked while a turn is stored, and locked while turns are deleted:
	// an ancestor that was found while a turn was stored isn't deleted afterwards.
	deletions sync.RWMutex

	mutex sync.Mutex
	index *index
	// routeRetentions are the retentions in force, by route.
	routeRetentions map[string]time.Duration
	// shortestRetentions are the shortest retentions with which turns of a route were added to
	// the index, since all stored turns were read.
	shortestRetentions map[string]time.Duration
	// loaded are the shards whose turns on the disk are in the index.
	loaded map[uint32]bool
}

var (
	_ replica.ChainStore = (*Store)(nil)
	_ replica.TurnLister = (*Store)(nil)
)

// NewStore returns a store for the turns in options.Store.
func NewStore(options Options) (*Store, error) {
	codec, err := turn.NewCodec()
	if err != nil {
		return nil, err
	}
	return &Store{
		Store: options.Store, options: options, codec: codec, index: newIndex(options.Now()), loaded: make(map[uint32]bool),
		shortestRetentions: make(map[string]time.Duration),
	}, nil
}

// PutTurn implements replica.Store.
func (s *Store) PutTurn(shard uint32, stored replica.Turn) error {
	_, err := s.PutTurnOfChain(shard, stored)
	return err
}

// PutTurnOfChain stores the turn and returns the ids of its ancestors that the shard lacks.
// From then on the ancestors are needed for as long as the turn, also those that are stored
// later.
func (s *Store) PutTurnOfChain(shard uint32, stored replica.Turn) (missing []string, err error) {
	if err := s.load(shard); err != nil {
		return nil, err
	}
	s.deletions.RLock()
	defer s.deletions.RUnlock()
	if err := s.Store.PutTurn(shard, stored); err != nil {
		return nil, err
	}
	retained := s.decode(stored)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.add(shard, stored.Program, retained), nil
}

// add adds a turn to the index as stored now. The mutex must be held.
func (s *Store) add(shard uint32, id string, retained *statev1.RetainedTurn) (missing []string) {
	now := s.options.Now()
	retention := s.retention(retained)
	if shortest, hasTurns := s.shortestRetentions[retained.GetRoute()]; !hasTurns || retention < shortest {
		s.shortestRetentions[retained.GetRoute()] = retention
	}
	return s.index.add(shard, id, retained, now, now.Add(retentionFactor*retention+retentionMargin))
}

// SetRetentions sets the retentions in force, by route. If one is longer than that of stored
// turns of the route, all stored turns are read again by the next collection, and count as
// stored at that moment.
func (s *Store) SetRetentions(byRoute map[string]time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.routeRetentions = maps.Clone(byRoute)
	for route, retention := range byRoute {
		shortest, hasTurns := s.shortestRetentions[route]
		if !hasTurns || retention <= shortest {
			continue
		}
		s.options.Logger.Info("retention raised, stored turns are read again", zap.String("route", route),
			zap.Duration("retention", retention), zap.Duration("before", shortest), zap.Int("turns", len(s.index.entries)))
		s.index.setAllUnread()
		clear(s.shortestRetentions)
		return
	}
}

// Lacking returns the ids of ancestors that are needed and that their shard has lacked for
// lackingGrace, by shard.
func (s *Store) Lacking() map[uint32][]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.index.lackingFor(lackingGrace, s.options.Now())
}

// DropShard implements replica.Store.
func (s *Store) DropShard(shard uint32) error {
	s.deletions.Lock()
	defer s.deletions.Unlock()
	if err := s.Store.DropShard(shard); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.index.removeShard(shard)
	return nil
}

// EachTurnKey implements replica.TurnLister.
func (s *Store) EachTurnKey(shard uint32, visit func(replica.Turn) error) error {
	return replica.EachTurnKey(s.Store, shard, visit)
}

// load adds the turns of the shard that were stored before the start to the index.
func (s *Store) load(shard uint32) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.loaded[shard] {
		return nil
	}
	err := replica.EachTurnKey(s.Store, shard, func(stored replica.Turn) error {
		s.index.addUnread(shard, stored.Program)
		return nil
	})
	s.loaded[shard] = err == nil
	return err
}

// decode returns the turn, or an empty one if it can't be decoded.
func (s *Store) decode(stored replica.Turn) *statev1.RetainedTurn {
	decoded, err := s.codec.Decode(stored.Program, stored.Object, stored.Digest)
	if err != nil {
		s.options.Logger.Warn("cannot decode turn", zap.String("turn", stored.Program), zap.Error(err))
		return &statev1.RetainedTurn{}
	}
	return decoded
}

// retention returns the retention of a turn, which is at least that of its route in force. The
// mutex must be held.
func (s *Store) retention(retained *statev1.RetainedTurn) time.Duration {
	stored := defaultRetention
	if milliseconds := retained.GetRetentionMs(); milliseconds > 0 {
		stored = time.Duration(min(milliseconds, maxRetention.Milliseconds())) * time.Millisecond
	}
	return min(max(stored, s.routeRetentions[retained.GetRoute()]), maxRetention)
}

// Collect deletes the turns that are no longer needed.
func (s *Store) Collect(ctx context.Context) error {
	for shard := range s.options.Shards() {
		if err := s.load(shard); err != nil {
			return err
		}
	}
	// No turn is deleted before all are read: one of them may need it.
	if err := s.readLoaded(ctx); err != nil {
		return err
	}
	return s.deleteExpired(ctx)
}

// readLoaded reads the turns that were stored before the start, to learn which ancestors
// they need and for how long.
func (s *Store) readLoaded(ctx context.Context) error {
	s.mutex.Lock()
	unread := s.index.unreadTurns()
	s.mutex.Unlock()
	for _, known := range unread {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := s.read(known); err != nil {
			return err
		}
	}
	return nil
}

// read adds a turn that was stored before the start to the index, as if it were stored now.
func (s *Store) read(known storedTurn) error {
	isFound := false
	err := s.Store.ReadTurns(known.shard, known.id, 0, func(stored replica.Turn) error {
		isFound = true
		retained := s.decode(stored)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.add(known.shard, known.id, retained)
		return nil
	})
	if err == nil && !isFound {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.index.remove(known)
	}
	return err
}
