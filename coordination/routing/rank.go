package routing

import (
	"math"
)

// Speeds assumed for an engine until its own are known, in tokens per second.
// They are guesses, which its load report or first answers replace.
const (
	defaultPrefillSpeed = 2000
	defaultDecodeSpeed  = 30
)

// ranking scores the engines of a subset for one request.
type ranking struct {
	snapshot *Snapshot
	request  *Request
	indexes  []int
	loads    []load
	// best is the engine, feasible or not, that has most of the prompt.
	best Cached
	// movable is the engine that holds most of it for the program itself.
	movable Cached
	// remote is where the prompt would be computed for other engines.
	remote remotePrefill
	// urgency is how much a second of this program's time counts.
	urgency float64
}

func newRanking(snapshot *Snapshot, request *Request, indexes []int) *ranking {
	r := &ranking{snapshot: snapshot, request: request, indexes: indexes}
	r.loads = make([]load, len(indexes))
	for i, index := range indexes {
		r.loads[i] = estimateLoad(snapshot, &snapshot.Engines[index])
	}
	r.best = bestCached(request, true)
	r.movable = bestCached(request, false)
	r.urgency = urgency(&snapshot.Weights, request.AttainedTokens)
	r.remote = r.findRemotePrefill()
	return r
}

// score works out what it costs to serve the request on an engine, in the
// cheapest of three ways: the engine computes what it hasn't cached; context is
// moved there from the engine that has most of it; or another engine computes
// the prompt and its context is moved.
func (r *ranking) score(position int) Candidate {
	engine := &r.snapshot.Engines[r.indexes[position]]
	busy := &r.loads[position]
	cached := r.request.cachedOn(engine.Name)
	candidate := Candidate{Engine: engine.Name, CachedTokens: cached, index: r.indexes[position], urgency: r.urgency}
	candidate.Decode = decodeTime(engine, r.request.OutputTokens, busy.running+1)
	candidate.Network = networkCost(&r.snapshot.Weights, r.request, engine)
	candidate.Eviction = evictionCost(engine, r.request, cached, busy)
	cheapest := r.direct(candidate, engine, busy)
	for _, way := range [...]func(Candidate, *EngineState, *load) (Candidate, bool){r.moved, r.remotely} {
		other, possible := way(candidate, engine, busy)
		if possible && other.Cost < cheapest.Cost {
			cheapest = other
		}
	}
	return cheapest
}

// direct computes on the engine what it hasn't cached.
func (r *ranking) direct(candidate Candidate, engine *EngineState, load *load) Candidate {
	speed := prefillSpeed(engine)
	candidate.Prefill = float64(r.request.PromptTokens()-candidate.CachedTokens) / speed
	candidate.Queue = load.promptTokens/speed + slotWait(engine, load, candidate.Decode)
	candidate.Interference = interference(engine, r.request, load, candidate.Prefill)
	candidate.WastedCache = r.wasted(candidate.CachedTokens, speed)
	candidate.Cost = weightedCost(&r.snapshot.Weights, &candidate)
	return candidate
}

// unloaded is the least time the call would take on an idle engine, in seconds.
func (r *ranking) unloaded() float64 {
	least := math.Inf(1)
	for _, index := range r.indexes {
		engine := &r.snapshot.Engines[index]
		step := engine.IdleStep
		if step == 0 {
			step = stepTime(engine, 1)
		}
		computed := r.request.PromptTokens() - r.request.cachedOn(engine.Name)
		took := float64(computed)/prefillSpeed(engine) + float64(r.request.OutputTokens)*step
		least = min(least, took)
	}
	return least
}

// memoryUse is the share of the subset's context memory that is in use.
func (r *ranking) memoryUse() float64 {
	var used, limit uint64
	for i, index := range r.indexes {
		engine := &r.snapshot.Engines[index]
		used += min(r.loads[i].memory, engine.CacheLimit)
		limit += engine.CacheLimit
	}
	if limit == 0 {
		return 0
	}
	return float64(used) / float64(limit)
}

// wasted is the time to compute the tokens that another engine has cached, in
// seconds.
func (r *ranking) wasted(cached uint64, speed float64) float64 {
	if r.best.Tokens <= cached {
		return 0
	}
	return float64(r.best.Tokens-cached) / speed
}

func weightedCost(weights *Weights, candidate *Candidate) float64 {
	latency := candidate.Queue + candidate.Prefill + candidate.Decode + candidate.Transfer + candidate.Network
	return weights.Latency*candidate.urgency*latency +
		weights.Interference*candidate.Interference +
		weights.WastedCache*candidate.WastedCache +
		weights.Eviction*candidate.Eviction
}

func prefillSpeed(engine *EngineState) float64 {
	if engine.PrefillSpeed > 0 {
		return engine.PrefillSpeed
	}
	return defaultPrefillSpeed
}

// decodeTime is the time of an answer among the given number of requests.
func decodeTime(engine *EngineState, outputTokens uint64, running float64) float64 {
	return float64(outputTokens) * stepTime(engine, running)
}

func stepTime(engine *EngineState, running float64) float64 {
	if engine.Step.Base > 0 {
		return engine.Step.Base + engine.Step.PerRequest*running
	}
	if engine.DecodeSpeed > 0 {
		return 1 / engine.DecodeSpeed
	}
	return 1.0 / defaultDecodeSpeed
}

// interference is the time that the running requests lose together: all of them
// while the prompt is computed, and a little in each step of the answer.
func interference(engine *EngineState, request *Request, load *load, prefill float64) float64 {
	return load.urgency * (prefill + float64(request.OutputTokens)*engine.Step.PerRequest)
}

// slotWait is the time until a request gets a place in a full batch, if all
// answers take as long as this one.
func slotWait(engine *EngineState, load *load, decode float64) float64 {
	places := float64(engine.MaxRunning)
	if places == 0 || load.requests < places {
		return 0
	}
	return (load.requests - places + 1) * decode / places
}

// load is what an engine is believed to have in hand now.
type load struct {
	// requests are running and waiting ones, running the former alone.
	requests float64
	running  float64
	// urgency is the sum of the running requests' urgencies.
	urgency float64
	// promptTokens are still to be computed.
	promptTokens float64
	// memory is the context memory in use, in tokens.
	memory uint64
}

// estimateLoad adds up the node's own work, which it knows exactly, and the work
// of other nodes, which is the reported load without the node's own part.
func estimateLoad(snapshot *Snapshot, engine *EngineState) load {
	var own PendingWork
	if snapshot.Pending != nil {
		own = snapshot.Pending.Pending(engine.Name, engine.ReportedAt)
	}
	estimate := load{
		requests:     float64(own.InFlight.Requests),
		promptTokens: float64(own.InFlight.PromptTokens),
		memory:       engine.CacheUsed + own.NewContext,
	}
	if !engine.ReportedAt.IsZero() {
		others := reportedPrompt(engine) - float64(own.AtReport.PromptTokens)
		estimate.promptTokens += max(others, 0)
		estimate.requests += float64(max(engine.Running+engine.Waiting-own.AtReport.Requests, 0))
	}
	estimate.running = estimate.requests
	if engine.MaxRunning > 0 {
		estimate.running = min(estimate.running, float64(engine.MaxRunning))
	}
	estimate.urgency = estimate.running
	if own.InFlight.Requests > 0 {
		estimate.urgency *= float64(own.InFlight.Urgency) / float64(percent(1)) / float64(own.InFlight.Requests)
	}
	return estimate
}

// typicalOutputLeft is an assumption of what a request still has to produce on
// average, in tokens. Engines report prompt and output in one sum, from which it
// is subtracted.
const typicalOutputLeft = 60

func reportedPrompt(engine *EngineState) float64 {
	output := typicalOutputLeft * float64(engine.Running+engine.Waiting)
	return max(float64(engine.OutstandingTokens)-output, 0)
}

func networkCost(weights *Weights, request *Request, engine *EngineState) float64 {
	if request.Zone == "" || engine.Zone == request.Zone {
		return 0
	}
	return weights.CrossZone.Seconds()
}

// memoryReserve is the part of an engine's memory, one in so many, that is kept
// for the growth of contexts and for what a lagging report doesn't show. In a
// simulation of long conversations at 0.9 of the capacity, 2.8 million tokens are
// computed again after eviction with the reserve and 20.4 million without it, and
// the 95th percentile of program latency is 108.6 and 165.8 s (mean of four seeds).
const memoryReserve = 8

// evictionCost is the time to compute again the tokens that the call would push
// out of the cache, and the time that the running requests lose by it, in
// seconds.
func evictionCost(engine *EngineState, request *Request, cached uint64, load *load) float64 {
	if engine.CacheLimit == 0 {
		return 0
	}
	needed := load.memory + request.PromptTokens() + request.OutputTokens - cached
	room := engine.CacheLimit - engine.CacheLimit/memoryReserve
	if needed <= room {
		return 0
	}
	added := request.PromptTokens() + request.OutputTokens - cached
	return float64(min(needed-room, added)) / prefillSpeed(engine) * (1 + load.urgency)
}
