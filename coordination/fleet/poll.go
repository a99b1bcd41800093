package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/marblering/marblering/coordination/admission"
)

// Polling limits keep a node's polling cost independent of the number of engines.
// Each engine is polled frequently by the one node that owns it. Other nodes learn
// that it is leaving through gossip and learn its load through the admission point.
// A node also samples the load of a limited number of engines it does not own, to
// have an estimate before its first call to them.
const (
	// pollsPerLoadReport is the number of state polls per load report of an owned
	// engine.
	pollsPerLoadReport = 4
	// pollsPerRound is the target number of polls per round. The remainder after the
	// owned engines is used for load reports of sampled engines, at least one per
	// round.
	pollsPerRound = 10
	// loadReportCost is the cost of a load report in state polls, by response
	// size.
	loadReportCost = 3
	// maxSampledEngines is the number of engines owned by other nodes that a node
	// samples.
	maxSampledEngines = 32
	pollConcurrency   = 4
)

// Serve polls the engines until the context ends. It implements suture.Service.
func (f *Fleet) Serve(ctx context.Context) error {
	ticker := time.NewTicker(f.PollInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		f.pollRound(ctx, round)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nextBatch returns up to count engines. Successive rounds cycle through the list.
func nextBatch(engines []Engine, round, count int) []Engine {
	count = min(count, len(engines))
	taken := make([]Engine, 0, count)
	for index := range count {
		taken = append(taken, engines[(round*count+index)%len(engines)])
	}
	return taken
}

// pollRound polls the leaving state of every owned engine and the load of some
// owned and some sampled engines.
func (f *Fleet) pollRound(ctx context.Context, round int) {
	owned, sampled := f.partition()
	group, groupContext := errgroup.WithContext(ctx)
	group.SetLimit(pollConcurrency)
	for index, engine := range owned {
		withLoad := (round+index)%pollsPerLoadReport == 0
		group.Go(func() error { return f.poll(groupContext, engine, withLoad) })
	}
	for _, engine := range nextBatch(sampled, round, max(1, (pollsPerRound-len(owned))/loadReportCost)) {
		group.Go(func() error { return f.pollLoad(groupContext, engine) })
	}
	// Polls log their errors and return nil so that a failing engine does not
	// cancel the others.
	_ = group.Wait()
}

// partition splits the engines into those this node owns and a limited sample of
// the others. The sample is stable and prefers the node's own zone.
func (f *Fleet) partition() (owned, sampled []Engine) {
	for _, entry := range f.table.Load().engines {
		if f.Owns(entry.Name) {
			owned = append(owned, entry.Engine)
		} else {
			sampled = append(sampled, entry.Engine)
		}
	}
	if len(sampled) <= maxSampledEngines {
		return owned, sampled
	}
	slices.SortFunc(sampled, func(left, right Engine) int {
		if (left.Zone == f.Zone) != (right.Zone == f.Zone) {
			if left.Zone == f.Zone {
				return -1
			}
			return 1
		}
		return compareHashes(f.Zone+left.Name, f.Zone+right.Name)
	})
	return owned, sampled[:maxSampledEngines]
}

func compareHashes(left, right string) int {
	leftHash, rightHash := xxhash.Sum64String(left), xxhash.Sum64String(right)
	switch {
	case leftHash < rightHash:
		return -1
	case leftHash > rightHash:
		return 1
	}
	return 0
}

func (f *Fleet) poll(ctx context.Context, engine Engine, withLoad bool) error {
	ctx, cancel := context.WithTimeout(ctx, f.PollInterval)
	defer cancel()
	leaving, err := f.Reporter.Leaving(ctx, engine.Address)
	if err != nil {
		f.Logger.Debug("failed to poll engine", zap.String("engine", engine.Name), zap.Error(err))
		return nil
	}
	f.recordLeaving(engine.Name, leaving)
	if !withLoad {
		return nil
	}
	return f.pollLoad(ctx, engine)
}

func (f *Fleet) pollLoad(ctx context.Context, engine Engine) error {
	ctx, cancel := context.WithTimeout(ctx, f.PollInterval)
	defer cancel()
	load, err := f.Reporter.Load(ctx, engine.Address)
	if err != nil {
		f.Logger.Debug("failed to read load report", zap.String("engine", engine.Name), zap.Error(err))
		return nil
	}
	f.recordLoad(engine.Name, load)
	return nil
}

// recordLeaving stores the engine's own report of whether it is leaving and
// notifies OnLeaving of a change.
func (f *Fleet) recordLeaving(engine string, leaving bool) {
	entries := f.table.Load().engines
	index := indexOf(entries, engine)
	if index < 0 || entries[index].selfReportedLeaving == leaving {
		return
	}
	f.change(engine, func(entry *engineEntry) { entry.selfReportedLeaving = leaving })
	f.notifyLeaving(engine, leaving)
}

func (f *Fleet) recordLoad(engine string, load Load) {
	now := f.Now()
	f.change(engine, func(entry *engineEntry) {
		entry.load = load
		entry.reportedAt = now
	})
	f.Admitter.SetCapacity(engine, admission.Capacity{
		MaxTokens:       load.CacheLimit,
		TokensPerSecond: load.PrefillSpeed,
	})
}
