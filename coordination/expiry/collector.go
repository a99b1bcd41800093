package expiry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// maxConcurrentDeletions limits how many turns are deleted while no turn can be stored. A
// disk store groups concurrent changes into one sync.
const maxConcurrentDeletions = 128

// Collector periodically deletes the turns that a Store no longer needs. It implements
// suture.Service.
type Collector struct {
	store *Store
	// interval is the time between two collections.
	interval time.Duration
	logger   *zap.Logger
}

// NewCollector returns a collector for the store.
func NewCollector(store *Store, interval time.Duration, logger *zap.Logger) *Collector {
	return &Collector{store: store, interval: interval, logger: logger}
}

// String returns the service name for the supervisor's log messages.
func (c *Collector) String() string { return "turn collector" }

// Serve collects periodically until the context ends.
func (c *Collector) Serve(ctx context.Context) error {
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if err := c.store.Collect(ctx); err != nil {
				c.logger.Warn("expired turns not deleted", zap.Error(err))
			}
		}
	}
}

// deleteExpired deletes the stored turns that are no longer needed.
func (s *Store) deleteExpired(ctx context.Context) error {
	s.mutex.Lock()
	candidates := s.index.expired(s.options.Now())
	s.mutex.Unlock()
	for batch := range slices.Chunk(candidates, maxConcurrentDeletions) {
		if err := ctx.Err(); err != nil {
			return err
		}
		deleted, err := s.deleteBatch(batch)
		s.logDeleted(deleted)
		if err != nil {
			return err
		}
	}
	return nil
}

// deleteBatch deletes those of the turns that still aren't needed, and returns the ones that
// it has deleted, also if others couldn't be.
func (s *Store) deleteBatch(batch []storedTurn) (deleted []deletedTurn, err error) {
	s.deletions.Lock()
	defer s.deletions.Unlock()
	var group errgroup.Group
	for _, turn := range s.stillExpired(batch) {
		group.Go(func() error {
			if err := s.DeleteTurns(turn.shard, turn.id); err != nil {
				return err
			}
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.index.remove(turn.storedTurn)
			deleted = append(deleted, turn)
			return nil
		})
	}
	err = group.Wait()
	return deleted, err
}

// stillExpired returns those of the turns that aren't needed now.
func (s *Store) stillExpired(batch []storedTurn) []deletedTurn {
	now := s.options.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var expired []deletedTurn
	for _, candidate := range batch {
		if overdue, isExpired := s.index.overdue(candidate.id, now); isExpired {
			expired = append(expired, deletedTurn{storedTurn: candidate, overdue: overdue})
		}
	}
	return expired
}

// logDeleted logs one line for each shard of which turns were deleted.
func (s *Store) logDeleted(deleted []deletedTurn) {
	s.mutex.Lock()
	known := len(s.index.entries)
	s.mutex.Unlock()
	byShard := make(map[uint32][]deletedTurn)
	for _, turn := range deleted {
		byShard[turn.shard] = append(byShard[turn.shard], turn)
	}
	for shard, turns := range byShard {
		s.options.Logger.Info("turns deleted", zap.Uint32("shard", shard), zap.Int("deleted", len(turns)),
			zap.Int("kept", known), zap.Stringer("turns", loggedTurns(turns)))
	}
}
