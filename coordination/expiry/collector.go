// Package expiry deletes turns that a replica has kept for long enough; use.isOver is
// the rule. A turn counts as used when it is stored and whenever a later turn of its
// line is, so that a line that goes on is kept whole.
//
// The package owns, in memory, when each stored turn was last used. It relies on the
// replica's store for the turns, and on the monotonic clock of the process for ages: a
// restart begins them anew, which only keeps turns longer.
package expiry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/state/turn"
)

const (
	// keptRetentions is how many times its retention a turn is kept after its last use,
	// since other replicas may have seen a later use. Chosen, not measured.
	keptRetentions = 3
	// slack is added for answers that end late. Chosen, not measured.
	slack = 30 * time.Second
	// defaultRetention is the retention of a turn that names none, or that can't be
	// read. Chosen, not measured.
	defaultRetention = 10 * time.Minute
)

// Options are the parts of a Collector.
type Options struct {
	Store replica.Store
	// Shards returns the number of shards.
	Shards func() uint32
	// Interval is the pause between two searches through all turns.
	Interval time.Duration
	Now      func() time.Time
	Logger   *zap.Logger
}

// Collector deletes turns. It is a suture service.
type Collector struct {
	options Options
	codec   *turn.Codec
	// known are the turns by id.
	known map[string]*use
}

// use is what is remembered of a stored turn.
type use struct {
	// last is the time of the last use.
	last time.Time
	// retention is what the turn asks for; zero until the turn was read.
	retention time.Duration
	// present is set while the search under way has found the turn.
	present bool
}

// isOver tells whether the turn is to be deleted: it hasn't been used for three times
// its retention and the slack.
func (u *use) isOver(now time.Time) bool {
	return now.Sub(u.last) > keptRetentions*u.retention+slack
}

// New makes a collector that has seen no turn.
func New(options Options) (*Collector, error) {
	codec, err := turn.NewCodec()
	if err != nil {
		return nil, err
	}
	return &Collector{options: options, codec: codec, known: make(map[string]*use)}, nil
}

// String names the service in the supervisor's messages.
func (c *Collector) String() string { return "collector of turns" }

// Serve collects until the context ends.
func (c *Collector) Serve(ctx context.Context) error {
	ticker := time.NewTicker(c.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if err := c.Collect(ctx); err != nil {
				c.options.Logger.Warn("turns not collected", zap.Error(err))
			}
		}
	}
}

// Collect searches through all turns once and deletes those that are over.
func (c *Collector) Collect(ctx context.Context) error {
	for _, known := range c.known {
		known.present = false
	}
	places := make(map[string]uint32)
	for shard := range c.options.Shards() {
		err := replica.EachTurnName(c.options.Store, shard, func(stored replica.Turn) error {
			places[stored.Program] = shard
			return ctx.Err()
		})
		if err != nil {
			return err
		}
	}
	for id, shard := range places {
		if err := c.see(shard, id); err != nil {
			return err
		}
	}
	return c.drop(places)
}

// see records a stored turn. A turn that is seen first counts as a use of its whole line.
func (c *Collector) see(shard uint32, id string) error {
	if known := c.known[id]; known != nil && known.retention > 0 {
		known.present = true
		return nil
	}
	now := c.options.Now()
	retention := defaultRetention
	err := c.options.Store.ReadTurns(shard, id, 0, func(stored replica.Turn) error {
		whole, err := c.codec.Decode(id, stored.Object, stored.Digest)
		if err != nil {
			// A turn that can't be read is kept for the default time.
			c.options.Logger.Warn("turn can't be read", zap.String("turn", id), zap.Error(err))
			return nil
		}
		if whole.GetRetentionMs() > 0 {
			retention = time.Duration(whole.GetRetentionMs()) * time.Millisecond
		}
		for _, ancestor := range whole.GetAncestors() {
			c.useOf(ancestor).last = now
		}
		return nil
	})
	seen := c.useOf(id)
	seen.last, seen.retention, seen.present = now, retention, true
	return err
}

// useOf returns what is known of the turn, a new entry at first.
func (c *Collector) useOf(id string) *use {
	known := c.known[id]
	if known == nil {
		known = &use{}
		c.known[id] = known
	}
	return known
}

// drop deletes the turns that are over and forgets those that the search hasn't found.
func (c *Collector) drop(places map[string]uint32) error {
	now := c.options.Now()
	dropped := 0
	for id, known := range c.known {
		if !known.present {
			delete(c.known, id)
			continue
		}
		if !known.isOver(now) {
			continue
		}
		if err := c.options.Store.DropProgram(places[id], id); err != nil {
			return err
		}
		delete(c.known, id)
		dropped++
	}
	if dropped > 0 {
		c.options.Logger.Info("turns deleted", zap.Int("deleted", dropped), zap.Int("kept", len(c.known)))
	}
	return nil
}
