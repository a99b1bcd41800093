// Package fleet keeps what one node knows of the engines and chooses among
// them: the engines of the configuration, their lagging load, the node's own
// work, where programs have their context, and who is leaving. The decision
// itself is routing.Choose, a pure function of the snapshot made here.
package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/admission"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/result"
)

// Engine is an engine of the configuration.
type Engine struct {
	Name       string
	Address    string
	Zone       string
	Generation string
	Role       string
	Models     []string
	Adapters   []string
	// Leaving engines receive no new work.
	Leaving bool
}

// Load is what an engine reports of itself.
type Load struct {
	Running           int
	Waiting           int
	OutstandingTokens uint64
	CacheUsed         uint64
	CacheLimit        uint64
	PrefillSpeed      float64
	DecodeSpeed       float64
}

// Reporter asks an engine about itself.
type Reporter interface {
	// Load returns the engine's load report, which lags.
	Load(ctx context.Context, address string) (Load, error)
	// Leaving reports whether the engine takes no more work.
	Leaving(ctx context.Context, address string) (bool, error)
}

// Admitter asks an engine's admission point, which counts exactly what the
// engine has outstanding from all nodes.
type Admitter interface {
	Admit(ctx context.Context, engine, request string, promptTokens, outputTokens uint64, deadline time.Time) (admitted bool, retryAfter time.Duration)
	Leave(engine, request string)
	// SetCapacity says what an engine may have outstanding.
	SetCapacity(engine string, capacity admission.Capacity)
}

// Options holds what a Fleet is made of.
type Options struct {
	Zone     string
	Reporter Reporter
	Admitter Admitter
	Weights  func() routing.Weights
	Now      func() time.Time
	Random   *rand.Rand
	Logger   *zap.Logger
	// Owns reports whether this node is the one that polls the engine.
	Owns func(engine string) bool
	// PollInterval is the pause between two polls of an owned engine.
	PollInterval time.Duration
	// MaxQueue is the longest expected queueing before a call is shed.
	MaxQueue time.Duration
	// OnLeaving is told of an engine that says it takes no more work; nil for
	// nobody.
	OnLeaving func(engine string, leaving bool)
}

// Bounds of a fleet's memory. Both are chosen, not measured.
const (
	// localityLimit is the number of programs whose engine is remembered.
	localityLimit = 20000
	// eventLag is how late an engine's cache events may come.
	eventLag = 5 * time.Second
	// probeTimeout is how long a claim to probe an ejected engine stands.
	probeTimeout = 2 * time.Second
	// maxRefusals bounds the admission points asked for one attempt.
	maxRefusals = 4
)

// Fleet implements execution.Router.
type Fleet struct {
	Options
	// table is replaced as a whole: a decision reads it without a lock.
	table    atomic.Pointer[table]
	writing  sync.Mutex
	random   sync.Mutex
	ledger   *routing.Ledger
	locality *routing.Locality
	speeds   *routing.Speeds
	ejector  *limit.Ejector
	shedder  *admission.Shedder
	journal  *journal
}

// table is an immutable list of engines.
type table struct {
	engines []engineEntry
}

type engineEntry struct {
	Engine
	load       Load
	reportedAt time.Time
	// ownWord is what the engine itself said last about leaving.
	ownWord bool
	// evidence is set where membership says that the engine is leaving: a peer
	// or the platform's machine list said so. The engine's own word doesn't
	// withdraw it.
	evidence bool
}

var _ execution.Router = (*Fleet)(nil)

// New makes a fleet without engines.
func New(options Options) *Fleet {
	f := &Fleet{
		Options:  options,
		ledger:   routing.NewLedger(),
		locality: routing.NewLocality(localityLimit, eventLag),
		speeds:   routing.NewSpeeds(),
		ejector:  limit.NewEjector(limit.DefaultEjectionPolicy()),
		shedder:  admission.NewShedder(admission.DefaultShedPolicy()),
		journal:  newJournal(),
	}
	f.table.Store(&table{})
	return f
}

// SetEngines replaces the list of engines; what is known of those that stay is
// kept.
func (f *Fleet) SetEngines(engines []Engine) {
	f.update(func(entries []engineEntry) []engineEntry {
		next := make([]engineEntry, 0, len(engines))
		for _, engine := range engines {
			entry := engineEntry{Engine: engine}
			if index := find(entries, engine.Name); index >= 0 {
				entry = entries[index]
				entry.Engine = engine
			}
			next = append(next, entry)
		}
		for _, former := range entries {
			if find(next, former.Name) < 0 {
				f.forget(former.Name)
			}
		}
		return next
	})
}

func (f *Fleet) forget(engine string) {
	f.ledger.Forget(engine)
	f.locality.ForgetEngine(engine)
	f.speeds.Forget(engine)
	f.ejector.Remove(engine)
}

// MarkLeaving takes in what membership says of the engine: that it takes no more
// work, or takes work again.
func (f *Fleet) MarkLeaving(engine string, leaving bool) {
	f.change(engine, func(entry *engineEntry) { entry.evidence = leaving })
}

// update replaces the table by what the function makes of a copy.
func (f *Fleet) update(make func([]engineEntry) []engineEntry) {
	f.writing.Lock()
	defer f.writing.Unlock()
	f.table.Store(&table{engines: make(slices.Clone(f.table.Load().engines))})
}

func (f *Fleet) change(engine string, change func(*engineEntry)) {
	f.update(func(entries []engineEntry) []engineEntry {
		if index := find(entries, engine); index >= 0 {
			change(&entries[index])
		}
		return entries
	})
}

func find(entries []engineEntry, name string) int {
	return slices.IndexFunc(entries, func(entry engineEntry) bool { return entry.Name == name })
}

// Engines returns the engines as a decision would see them.
func (f *Fleet) Engines() []routing.EngineState {
	now := f.Now()
	entries := f.table.Load().engines
	states := make([]routing.EngineState, len(entries))
	for index := range entries {
		states[index] = f.state(&entries[index], now)
	}
	return states
}

func (f *Fleet) state(entry *engineEntry, now time.Time) routing.EngineState {
	learned := f.speeds.Of(entry.Name)
	return routing.EngineState{
		Name:              entry.Name,
		Address:           entry.Address,
		Zone:              entry.Zone,
		Generation:        entry.Generation,
		Role:              entry.Role,
		Models:            entry.Models,
		Adapters:          entry.Adapters,
		Leaving:           entry.Leaving || entry.ownWord || entry.evidence,
		Ejected:           f.ejector.Health(entry.Name, now) != limit.Healthy,
		Running:           entry.load.Running,
		Waiting:           entry.load.Waiting,
		OutstandingTokens: entry.load.OutstandingTokens,
		ReportedAt:        entry.reportedAt,
		PrefillSpeed:      firstPositive(learned.Prefill, entry.load.PrefillSpeed),
		DecodeSpeed:       firstPositive(learned.Decode, entry.load.DecodeSpeed),
		CacheLimit:        entry.load.CacheLimit,
		CacheUsed:         entry.load.CacheUsed,
	}
}

func firstPositive(values ...float64) float64 {
	for _, value := range values {
		if value > 0 {
			return value
		}
	}
	return 0
}

// Choose decides which engine serves the attempt and reserves the work. An
// engine whose admission point refuses is passed over for the next best.
func (f *Fleet) Choose(ctx context.Context, query execution.Query) (execution.Choice, error) {
	request := f.request(query)
	var refusal *result.Error
	for range maxRefusals {
		snapshot := f.snapshot()
		decision := f.decideWithLastResort(snapshot, request)
		f.journal.add(query.Program, decision, snapshot.Now)
		if decision.Err != nil {
			if refusal != nil {
				return execution.Choice{}, refusal
			}
			return execution.Choice{}, decision.Err
		}
		if pause := f.shed(query, decision, snapshot.Now); pause > 0 {
			return execution.Choice{}, overloaded(pause)
		}
		name := f.journal.nextName(query.Program)
		admitted, retryAfter := f.Admitter.Admit(ctx, decision.Engine, name, query.HistoryTokens+query.NewTokens, query.OutputTokens, query.Deadline)
		if admitted {
			return f.reserve(query, request, decision, name), nil
		}
		refusal = overloaded(retryAfter)
		request.Excluded = append(request.Excluded, decision.Engine)
	}
	return execution.Choice{}, refusal
}

func overloaded(pause time.Duration) *result.Error {
	return result.Errorf(result.Overloaded, "the engines have no room for the call").WithRetryAfter(max(pause, time.Second))
}

// shed refuses a call early where the queues are long; programs that have begun
// go on for longer than new ones are let in.
func (f *Fleet) shed(query execution.Query, decision routing.Decision, now time.Time) time.Duration {
	best := decision.Candidates[0]
	scored := 0
	for _, candidate := range decision.Candidates {
		if candidate.Rejected == routing.FilterNone {
			scored++
		}
	}
	f.random.Lock()
	defer f.random.Unlock()
	return f.shedder.Admit(admission.Demand{
		Started:       query.HistoryTokens > 0,
		ExpectedQueue: seconds(best.Queue),
		ServiceTime:   seconds(best.Prefill + best.Decode),
		Engines:       scored,
	}, f.Random, now)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

func (f *Fleet) snapshot() *routing.Snapshot {
	return &routing.Snapshot{
		Now:      f.Now(),
		Engines:  f.probedEngines(),
		Weights:  f.Weights(),
		Pending:  f.ledger,
		MaxQueue: f.MaxQueue,
	}
}

// probedEngines are the engines for one decision: an ejected engine whose time
// is over takes part where this decision may claim its probe.
func (f *Fleet) probedEngines() []routing.EngineState {
	states := f.Engines()
	now := f.Now()
	for index := range states {
		state := &states[index]
		if state.Ejected && f.ejector.Health(state.Name, now) == limit.Probing {
			state.Ejected = !f.ejector.ClaimProbe(state.Name, probeTimeout, now)
		}
	}
	return states
}

func (f *Fleet) request(query execution.Query) *routing.Request {
	return &routing.Request{
		Program:        query.Program,
		Root:           program.RootOf(query.Program),
		Tenant:         query.Tenant,
		Model:          query.Model,
		Adapter:        query.Adapter,
		Zone:           f.Zone,
		HistoryTokens:  query.HistoryTokens,
		NewTokens:      query.NewTokens,
		OutputTokens:   query.OutputTokens,
		AttainedTokens: query.AttainedTokens,
		Priority:       query.Priority,
		Deadline:       query.Deadline,
		CachedOn:       f.cachedOn(query),
		Excluded:       slices.Clone(query.Excluded),
	}
}

func (f *Fleet) decide(snapshot *routing.Snapshot, request *routing.Request) routing.Decision {
	f.random.Lock()
	defer f.random.Unlock()
	return routing.Choose(snapshot, request, f.Random)
}

// decideWithLastResort takes the ejected engines in where no other can serve the
// request: an ejected engine may be slow, but without it a call fails for as long
// as an ejection lasts, 10 s and more, when the engines that are left die.
func (f *Fleet) decideWithLastResort(snapshot *routing.Snapshot, request *routing.Request) routing.Decision {
	decision := f.decide(snapshot, request)
	if decision.Err == nil || decision.Err.Code != result.NoEngine {
		return decision
	}
	readmitted := 0
	for index := range snapshot.Engines {
		if snapshot.Engines[index].Ejected {
			snapshot.Engines[index].Ejected = false
			readmitted++
		}
	}
	if readmitted == 0 {
		return decision
	}
	last := f.decide(snapshot, request)
	f.Logger.Info("only ejected engines left to choose from", zap.String("program", request.Program),
		zap.Int("ejected", readmitted), zap.String("chosen", last.Engine))
	return last
}

// cachedOn falls back to the record's holds where this node has seen nothing of
// the program itself, as after a change of nodes.
func (f *Fleet) cachedOn(query execution.Query) []routing.Cached {
	cached := f.locality.CachedOn(query.Program)
	if len(cached) > 0 || query.HistoryTokens == 0 {
		return cached
	}
	for _, engine := range query.HeldBy {
		cached = append(cached, routing.Cached{Engine: engine, Tokens: query.HistoryTokens})
	}
	return cached
}
