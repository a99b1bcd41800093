// Package expiry deletes expired turns from a replica's store; usage.isExpired defines
// when a turn expires. A turn counts as used when it is stored and whenever a descendant
// is stored, so that no ancestor expires while its line of turns is continued.
//
// The last use of each stored turn is only kept in memory. A restart resets it to the first
// collection afterwards, which only keeps turns longer.
package expiry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/state/turn"
)

const (
	// retentionFactor multiplies the retention of a turn, since other replicas may have
	// seen a later use.
	retentionFactor = 3
	// retentionMargin extends the retention for responses that end late.
	retentionMargin = 30 * time.Second
	// defaultRetention applies to turns that specify no retention or can't be decoded.
	defaultRetention = 10 * time.Minute
)

// Options configures a Collector.
type Options struct {
	Store replica.Store
	// Shards returns the number of shards.
	Shards func() uint32
	// Interval is the time between two collections.
	Interval time.Duration
	Now      func() time.Time
	Logger   *zap.Logger
}

// Collector deletes expired turns. It implements suture.Service.
type Collector struct {
	options Options
	codec   *turn.Codec
	// usages are the usages of the turns by id.
	usages map[string]*usage
}

// usage records when a turn was last used and how long it is retained.
type usage struct {
	lastUsed time.Time
	// retention is the retention of the turn; zero until the turn was read.
	retention time.Duration
	// found is set if the current collection found the turn in the store.
	found bool
}

// isExpired reports whether the turn is to be deleted: it has not been used for
// retentionFactor times its retention plus retentionMargin.
func (u *usage) isExpired(now time.Time) bool {
	return now.Sub(u.lastUsed) > retentionFactor*u.retention+retentionMargin
}

// New returns a collector that knows no turns.
func New(options Options) (*Collector, error) {
	codec, err := turn.NewCodec()
	if err != nil {
		return nil, err
	}
	return &Collector{options: options, codec: codec, usages: make(map[string]*usage)}, nil
}

// String returns the service name for the supervisor's log messages.
func (c *Collector) String() string { return "turn collector" }

// Serve collects periodically until the context ends.
func (c *Collector) Serve(ctx context.Context) error {
	ticker := time.NewTicker(c.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if err := c.Collect(ctx); err != nil {
				c.options.Logger.Warn("expired turns not deleted", zap.Error(err))
			}
		}
	}
}

// Collect scans all stored turns once and deletes the expired ones.
func (c *Collector) Collect(ctx context.Context) error {
	for _, entry := range c.usages {
		entry.found = false
	}
	shardOf := make(map[string]uint32)
	for shard := range c.options.Shards() {
		err := replica.EachTurnKey(c.options.Store, shard, func(stored replica.Turn) error {
			shardOf[stored.Program] = shard
			return ctx.Err()
		})
		if err != nil {
			return err
		}
	}
	for id, shard := range shardOf {
		if err := c.recordStored(shard, id); err != nil {
			return err
		}
	}
	return c.deleteExpired(shardOf)
}

// recordStored records that the collection found a turn. The first time, this counts as a
// use of the turn and of all its ancestors.
func (c *Collector) recordStored(shard uint32, id string) error {
	if entry := c.usages[id]; entry != nil && entry.retention > 0 {
		entry.found = true
		return nil
	}
	now := c.options.Now()
	retention := defaultRetention
	err := c.options.Store.ReadTurns(shard, id, 0, func(stored replica.Turn) error {
		decoded, err := c.codec.Decode(id, stored.Object, stored.Digest)
		if err != nil {
			// Kept for the default retention.
			c.options.Logger.Warn("cannot decode turn", zap.String("turn", id), zap.Error(err))
			return nil
		}
		if decoded.GetRetentionMs() > 0 {
			retention = time.Duration(decoded.GetRetentionMs()) * time.Millisecond
		}
		for _, ancestor := range decoded.GetAncestors() {
			c.usageOf(ancestor).lastUsed = now
		}
		return nil
	})
	entry := c.usageOf(id)
	entry.lastUsed, entry.retention, entry.found = now, retention, true
	return err
}

// usageOf returns the entry of the turn, and creates it if there is none.
func (c *Collector) usageOf(id string) *usage {
	entry := c.usages[id]
	if entry == nil {
		entry = &usage{}
		c.usages[id] = entry
	}
	return entry
}

// deleteExpired deletes the expired turns from the store, and removes the entries of turns
// that the collection didn't find.
func (c *Collector) deleteExpired(shardOf map[string]uint32) error {
	now := c.options.Now()
	deleted := make(map[uint32][]deletedTurn)
	for id, entry := range c.usages {
		if !entry.found {
			delete(c.usages, id)
			continue
		}
		if !entry.isExpired(now) {
			continue
		}
		if err := c.options.Store.DeleteTurns(shardOf[id], id); err != nil {
			return err
		}
		delete(c.usages, id)
		deleted[shardOf[id]] = append(deleted[shardOf[id]], deletedTurn{id: id, unusedFor: now.Sub(entry.lastUsed), retention: entry.retention})
	}
	for shard, turns := range deleted {
		c.options.Logger.Info("turns deleted", zap.Uint32("shard", shard), zap.Int("deleted", len(turns)),
			zap.Int("kept", len(c.usages)), zap.Stringer("turns", loggedTurns(turns)))
	}
	return nil
}
