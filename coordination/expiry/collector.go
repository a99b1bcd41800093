// Package expiry deletes turns that a replica has kept for long enough. A turn
// counts as used when it is stored and whenever a later turn of its line is, so
// that a line that goes on is kept whole. Ages are measured by the steady clock
// of this process: a restart begins them anew and only keeps turns longer.
package expiry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/state/turn"
)

const (
	// keptRetentions is how many times its retention a turn is kept after its last
	// use: other replicas may have seen a later one.
	keptRetentions = 3
	// slack is added for answers that end late.
	slack = 30 * time.Second
	// defaultRetention is that of a turn that names none.
	defaultRetention = 10 * time.Minute
)

// Options are the parts of a Collector.
type Options struct {
	Store replica.Store
	// Shards tells how many shards there are.
	Shards func() uint32
	// Interval is the pause between two looks at all turns.
	Interval time.Duration
	Now      func() time.Time
	Logger   *zap.Logger
}

// Collector deletes turns. It is a suture service.
type Collector struct {
	options Options
	codec   *turn.Codec
	known   map[string]*use
}

// use is what is remembered of a stored turn.
type use struct {
	last      time.Time
	retention time.Duration
	// present is set while the turn was found in the look under way.
	present bool
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

// Collect looks at all turns once and deletes those that are over.
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

// see notes a turn that is stored. A new one counts as a use of its whole line.
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

func (c *Collector) useOf(id string) *use {
	known := c.known[id]
	if known == nil {
		known = &use{}
		c.known[id] = known
	}
	return known
}

// drop deletes the turns that are over and forgets those that are gone.
func (c *Collector) drop(places map[string]uint32) error {
	now := c.options.Now()
	dropped := 0
	for id, known := range c.known {
		if !known.present {
			delete(c.known, id)
			continue
		}
		if now.Sub(known.last) <= keptRetentions*known.retention+slack {
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
