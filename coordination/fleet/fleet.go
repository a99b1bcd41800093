// Package fleet holds one node's view of the engines and selects an engine for
// each attempt. The view covers the configured engines, their reported load, the
// node's own pending work, the engines that cache each program's context, and the
// engines that are leaving. The decision itself is made by [routing.Choose], a
// pure function of the snapshot taken here.
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

// Engine is a configured engine.
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

// Load is the load report of an engine.
type Load struct {
	Running           int
	Waiting           int
	OutstandingTokens uint64
	CacheUsed         uint64
	CacheLimit        uint64
	PrefillSpeed      float64
	DecodeSpeed       float64
}

// Reporter queries the state of an engine.
type Reporter interface {
	// Load returns the engine's load report, which may be out of date.
	Load(ctx context.Context, address string) (Load, error)
	// Leaving reports whether the engine accepts no new work.
	Leaving(ctx context.Context, address string) (bool, error)
}

// Admitter requests admission from an engine's admission point, which keeps an
// exact count of the engine's outstanding work from all nodes.
type Admitter interface {
	Admit(ctx context.Context, engine, request string, promptTokens, outputTokens uint64, deadline time.Time) (admitted bool, retryAfter time.Duration)
	Release(engine, request string)
	// SetCapacity sets the limit of an engine's outstanding work.
	SetCapacity(engine string, capacity admission.Capacity)
}

// Options configures a Fleet.
type Options struct {
	Zone     string
	Reporter Reporter
	Admitter Admitter
	Weights  func() routing.Weights
	Now      func() time.Time
	Random   *rand.Rand
	Logger   *zap.Logger
	// Owns reports whether this node is responsible for polling the engine.
	Owns func(engine string) bool
	// PollInterval is the interval between two polls of an owned engine.
	PollInterval time.Duration
	// MaxQueue is the expected queueing time above which a call is shed.
	MaxQueue time.Duration
	// OnLeaving is called when an engine changes its own report of whether it is
	// leaving. It may be nil.
	OnLeaving func(engine string, leaving bool)
}

const (
	// maxLocalityPrograms is the number of programs whose cached context is tracked.
	maxLocalityPrograms = 20000
	// maxCacheEventLag is the longest delay of an engine's cache events.
	maxCacheEventLag = 5 * time.Second
	// probeTimeout is the time after which the claim to probe an ejected engine expires.
	probeTimeout = 2 * time.Second
	// maxAdmissionAttempts is the number of admission points tried for one attempt.
	maxAdmissionAttempts = 4
)

// Fleet implements execution.Router.
type Fleet struct {
	Options
	// table is replaced as a whole so that decisions read it without a lock.
	table       atomic.Pointer[table]
	updateMutex sync.Mutex
	randomMutex sync.Mutex
	ledger      *routing.Ledger
	locality    *routing.Locality
	speeds      *routing.Speeds
	ejector     *limit.Ejector
	shedder     *admission.Shedder
	decisions   *decisionLog
}

// table is an immutable list of engines.
type table struct {
	engines []engineEntry
}

type engineEntry struct {
	Engine
	load       Load
	reportedAt time.Time
	// selfReportedLeaving is the last leaving state reported by the engine itself.
	selfReportedLeaving bool
	// memberLeaving is set if membership reports that the engine is leaving, as
	// learned from a peer or the platform's machine list. The engine's own report
	// does not clear it.
	memberLeaving bool
}

var _ execution.Router = (*Fleet)(nil)

// New returns a Fleet without engines.
func New(options Options) *Fleet {
	f := &Fleet{
		Options:   options,
		ledger:    routing.NewLedger(),
		locality:  routing.NewLocality(maxLocalityPrograms, maxCacheEventLag),
		speeds:    routing.NewSpeeds(),
		ejector:   limit.NewEjector(limit.DefaultEjectionPolicy()),
		shedder:   admission.NewShedder(admission.DefaultShedPolicy()),
		decisions: newDecisionLog(),
	}
	f.table.Store(&table{})
	return f
}

// SetEngines replaces the list of engines. The state of engines that remain in
// the list is kept.
func (f *Fleet) SetEngines(engines []Engine) {
	f.update(func(entries []engineEntry) []engineEntry {
		next := make([]engineEntry, 0, len(engines))
		for _, engine := range engines {
			entry := engineEntry{Engine: engine}
			if index := indexOf(entries, engine.Name); index >= 0 {
				entry = entries[index]
				entry.Engine = engine
			}
			next = append(next, entry)
		}
		for _, former := range entries {
			if indexOf(next, former.Name) < 0 {
				f.forgetEngine(former.Name)
			}
		}
		return next
	})
}

func (f *Fleet) forgetEngine(engine string) {
	f.ledger.Forget(engine)
	f.locality.ForgetEngine(engine)
	f.speeds.Forget(engine)
	f.ejector.Remove(engine)
}

// MarkLeaving records whether membership reports the engine as leaving.
func (f *Fleet) MarkLeaving(engine string, leaving bool) {
	f.change(engine, func(entry *engineEntry) { entry.memberLeaving = leaving })
}

// update replaces the table with the result of applying the function to a copy.
func (f *Fleet) update(make func([]engineEntry) []engineEntry) {
	f.updateMutex.Lock()
	defer f.updateMutex.Unlock()
	f.table.Store(&table{engines: make(slices.Clone(f.table.Load().engines))})
}

func (f *Fleet) change(engine string, change func(*engineEntry)) {
	f.update(func(entries []engineEntry) []engineEntry {
		if index := indexOf(entries, engine); index >= 0 {
			change(&entries[index])
		}
		return entries
	})
}

func indexOf(entries []engineEntry, name string) int {
	return slices.IndexFunc(entries, func(entry engineEntry) bool { return entry.Name == name })
}

// Engines returns the current state of the engines, as used by routing decisions.
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
		Leaving:           entry.Leaving || entry.selfReportedLeaving || entry.memberLeaving,
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

// Choose selects the engine for the attempt and reserves the work. If the
// engine's admission point refuses, it tries the next best engine.
func (f *Fleet) Choose(ctx context.Context, query execution.Query) (execution.Choice, error) {
	request := f.request(query)
	var refusal *result.Error
	for range maxAdmissionAttempts {
		snapshot := f.snapshot()
		decision := f.decideWithEjectedFallback(snapshot, request)
		f.decisions.add(query.Program, decision, snapshot.Now)
		if decision.Err != nil {
			if refusal != nil {
				return execution.Choice{}, refusal
			}
			return execution.Choice{}, decision.Err
		}
		if pause := f.shedDelay(query, decision, snapshot.Now); pause > 0 {
			return execution.Choice{}, overloadedError(pause)
		}
		name := f.decisions.nextReservation(query.Program)
		admitted, retryAfter := f.Admitter.Admit(ctx, decision.Engine, name, query.HistoryTokens+query.NewTokens, query.OutputTokens, query.Deadline)
		if admitted {
			return f.reserve(query, request, decision, name), nil
		}
		refusal = overloadedError(retryAfter)
		request.Excluded = append(request.Excluded, decision.Engine)
	}
	return execution.Choice{}, refusal
}

func overloadedError(pause time.Duration) *result.Error {
	return result.Errorf(result.Overloaded, "the engines have no room for the call").WithRetryAfter(max(pause, time.Second))
}

// shedDelay returns how long the caller should wait before a retry if the call is
// shed because of long queues, or zero if it is admitted. New programs are shed
// before programs that have begun.
func (f *Fleet) shedDelay(query execution.Query, decision routing.Decision, now time.Time) time.Duration {
	best := decision.Candidates[0]
	scored := 0
	for _, candidate := range decision.Candidates {
		if candidate.Rejected == routing.FilterNone {
			scored++
		}
	}
	f.randomMutex.Lock()
	defer f.randomMutex.Unlock()
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
		Engines:  f.enginesWithProbes(),
		Weights:  f.Weights(),
		Pending:  f.ledger,
		MaxQueue: f.MaxQueue,
	}
}

// enginesWithProbes returns the engines for one decision. It includes an ejected
// engine whose ejection has expired if this decision can claim its probe.
func (f *Fleet) enginesWithProbes() []routing.EngineState {
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
	f.randomMutex.Lock()
	defer f.randomMutex.Unlock()
	return routing.Choose(snapshot, request, f.Random)
}

// decideWithEjectedFallback falls back to the ejected engines if no other can
// serve the request. Otherwise calls would fail until the ejections expire if the
// remaining engines die.
func (f *Fleet) decideWithEjectedFallback(snapshot *routing.Snapshot, request *routing.Request) routing.Decision {
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

// cachedOn returns the engines that cache the program's context. If this node has
// not routed the program before, it uses the holds of the program's record.
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
