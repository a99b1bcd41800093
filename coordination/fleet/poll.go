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

// Polling is bounded by a node's control budget, not by the number of engines.
// Each engine has one owner among the nodes, which asks it often; its word that
// it leaves reaches the others by gossip, its load by the admission point. Of
// the engines of others a node samples a bounded number, slowly, so that its
// first choice among them isn't blind.
const (
	// loadEvery is after how many state polls an owner reads the load too.
	loadEvery = 4
	// pollBudget is how many polls a node sends in a round. What its own engines
	// leave of it goes to load reports of others, at least one a round: in a small
	// fleet a node samples them all quickly.
	pollBudget = 10
	// loadCost is how many polls of the state a load report counts for, by bytes.
	loadCost = 3
	// maxSampled bounds the engines of others that a node samples.
	maxSampled      = 32
	pollConcurrency = 4
)

// Serve polls the engines until the context ends. It is a suture service.
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

// take returns up to count engines, so that successive rounds go through the
// list in turn.
func take(engines []Engine, round, count int) []Engine {
	count = min(count, len(engines))
	taken := make([]Engine, 0, count)
	for index := range count {
		taken = append(taken, engines[(round*count+index)%len(engines)])
	}
	return taken
}

// pollRound asks every owned engine whether it leaves, some of them for their
// load, and a few engines of other owners for theirs.
func (f *Fleet) pollRound(ctx context.Context, round int) {
	owned, sampled := f.partition()
	group, groupContext := errgroup.WithContext(ctx)
	group.SetLimit(pollConcurrency)
	for index, engine := range owned {
		withLoad := (round+index)%loadEvery == 0
		group.Go(func() error { return f.poll(groupContext, engine, withLoad) })
	}
	for _, engine := range take(sampled, round, max(1, (pollBudget-len(owned))/loadCost)) {
		group.Go(func() error { return f.pollLoad(groupContext, engine) })
	}
	// poll reports no errors: one engine's silence is no reason to stop.
	_ = group.Wait()
}

// partition divides the engines into those this node owns and a bounded, fixed
// sample of the others, those of its own zone first.
func (f *Fleet) partition() (owned, sampled []Engine) {
	for _, entry := range f.table.Load().engines {
		if f.Owns(entry.Name) {
			owned = append(owned, entry.Engine)
		} else {
			sampled = append(sampled, entry.Engine)
		}
	}
	if len(sampled) <= maxSampled {
		return owned, sampled
	}
	slices.SortFunc(sampled, func(left, right Engine) int {
		if (left.Zone == f.Zone) != (right.Zone == f.Zone) {
			if left.Zone == f.Zone {
				return -1
			}
			return 1
		}
		return compareHash(f.Zone+left.Name, f.Zone+right.Name)
	})
	return owned, sampled[:maxSampled]
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

func (f *Fleet) poll(ctx context.Context, engine Engine, withLoad bool) error {
	ctx, cancel := context.WithTimeout(ctx, f.PollInterval)
	defer cancel()
	leaving, err := f.Reporter.Leaving(ctx, engine.Address)
	if err != nil {
		f.Logger.Debug("engine did not answer", zap.String("engine", engine.Name), zap.Error(err))
		return nil
	}
	f.takeLeaving(engine.Name, leaving)
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
		f.Logger.Debug("load report not read", zap.String("engine", engine.Name), zap.Error(err))
		return nil
	}
	f.takeLoad(engine.Name, load)
	return nil
}

// takeLeaving takes in the engine's own word.
func (f *Fleet) takeLeaving(engine string, leaving bool) {
	entries := f.table.Load().engines
	index := find(entries, engine)
	if index < 0 || entries[index].ownWord == leaving {
		return
	}
	f.change(engine, func(entry *engineEntry) { entry.ownWord = leaving })
	f.tellLeaving(engine, leaving)
}

func (f *Fleet) takeLoad(engine string, load Load) {
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
