package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/marblering/marblering/coordination/limit"
)

// Serve polls the engines until the context ends. It is a suture service.
func (f *Fleet) Serve(ctx context.Context) error {
	ticker := time.NewTicker(f.PollInterval)
	defer ticker.Stop()
	for {
		f.pollAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pollAll asks a bounded number of engines for their load: all of a small
// fleet, else those of the own zone first and a fixed sample of the others.
func (f *Fleet) pollAll(ctx context.Context) {
	group, groupContext := errgroup.WithContext(ctx)
	group.SetLimit(pollConcurrency)
	for _, entry := range f.polled() {
		group.Go(func() error {
			f.poll(groupContext, entry.Engine)
			return nil
		})
	}
	// The functions never fail: one engine's silence is no reason to stop.
	_ = group.Wait()
}

func (f *Fleet) polled() []engineEntry {
	entries := slices.Clone(f.table.Load().engines)
	if len(entries) <= maxPolled {
		return entries
	}
	slices.SortFunc(entries, func(left, right engineEntry) int {
		if (left.Zone == f.Zone) != (right.Zone == f.Zone) {
			if left.Zone == f.Zone {
				return -1
			}
			return 1
		}
		return compareHash(f.Zone+left.Name, f.Zone+right.Name)
	})
	return entries[:maxPolled]
}

func compareHash(left, right string) int {
	leftHash, rightHash := xxhash.Sum64String(left), xxhash.Sum64String(right)
	switch {
	case leftHash < rightHash:
		return -1
	case leftHash > rightHash:
		return 1
	}
	return 0
}

func (f *Fleet) poll(ctx context.Context, engine Engine) {
	pollContext, cancel := context.WithTimeout(ctx, f.PollInterval)
	defer cancel()
	load, err := f.Reporter.Load(pollContext, engine.Address)
	if err != nil {
		f.Logger.Debug("no load report", zap.String("engine", engine.Name), zap.Error(err))
		return
	}
	now := f.Now()
	changed := false
	f.change(engine.Name, func(entry *engineEntry) {
		changed = entry.evidence != load.Leaving
		entry.load = load
		entry.reportedAt = now
		entry.evidence = load.Leaving
	})
	f.Admitter.SetCapacity(engine.Name, limit.Capacity{
		MaxTokens:       load.CacheLimit,
		TokensPerSecond: load.PrefillSpeed,
	})
	if changed {
		f.tellLeaving(engine.Name, load.Leaving)
	}
}
