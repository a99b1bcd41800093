package routing

import (
	"time"
)

// Speeds assumed of an engine that nothing was measured of yet, in tokens per
// second.
const (
	defaultPrefillSpeed = 2000
	defaultDecodeSpeed  = 30
)

// score fills in the cost of serving the request on the engine.
func score(snapshot *Snapshot, request *Request, index int, best Cached) Candidate {
	engine := &snapshot.Engines[index]
	weights := &snapshot.Weights
	speed := prefillSpeed(engine)
	cached := request.cachedOn(engine.Name)
	load := estimateLoad(snapshot, engine)
	candidate := Candidate{Engine: engine.Name, CachedTokens: cached, index: index}
	candidate.Prefill = float64(request.PromptTokens()-cached) / speed
	candidate.Decode = decodeTime(engine, request.OutputTokens, load.running+1)
	candidate.Queue = load.promptTokens/speed + slotWait(engine, &load, candidate.Decode)
	candidate.Network = networkCost(weights, request, engine)
	considerTransfer(&candidate, weights, request, best, speed)
	candidate.Interference = interference(engine, request, &load, candidate.Prefill)
	candidate.WastedCache = wastedCache(&candidate, best, speed)
	candidate.Eviction = evictionCost(engine, request, cached, speed)
	candidate.Cost = weightedCost(weights, &candidate)
	return candidate
}

func weightedCost(weights *Weights, candidate *Candidate) float64 {
	latency := candidate.Queue + candidate.Prefill + candidate.Decode + candidate.Transfer + candidate.Network
	return weights.Latency*latency +
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
	return load.running * (prefill + float64(request.OutputTokens)*engine.Step.PerRequest)
}

// slotWait is the time until a request that is beyond the engine's batch gets
// a place in it, if all answers take as long as this one.
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
	// promptTokens are still to be computed.
	promptTokens float64
}

// estimateLoad corrects the reported load by what the engine has computed
// since and by the own work that the report can't show. It is never less than
// the own work in flight.
func estimateLoad(snapshot *Snapshot, engine *EngineState) load {
	var own PendingWork
	if snapshot.Pending != nil {
		own = snapshot.Pending.Pending(engine.Name, engine.ReportedAt)
	}
	var estimate load
	if !engine.ReportedAt.IsZero() {
		age := max(snapshot.Now.Sub(engine.ReportedAt), time.Duration(0)).Seconds()
		estimate.promptTokens = reportedPrompt(engine) - age*prefillSpeed(engine)
		estimate.requests = float64(engine.Running + engine.Waiting)
	}
	estimate.promptTokens = max(estimate.promptTokens-float64(own.Finished.PromptTokens), 0)
	estimate.promptTokens = max(estimate.promptTokens+float64(own.Added.PromptTokens), float64(own.InFlight.PromptTokens))
	estimate.requests = max(estimate.requests-float64(own.Finished.Requests), 0)
	estimate.requests = max(estimate.requests+float64(own.Added.Requests), float64(own.InFlight.Requests))
	estimate.running = estimate.requests
	if engine.MaxRunning > 0 {
		estimate.running = min(estimate.running, float64(engine.MaxRunning))
	}
	return estimate
}

// typicalOutputLeft is what a request in hand has still to produce on average,
// in tokens: engines report prompt and output in one sum.
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

// considerTransfer moves context instead of computing it where that is faster.
func considerTransfer(candidate *Candidate, weights *Weights, request *Request, best Cached, speed float64) {
	if weights.TransferSpeed <= 0 || best.Tokens <= candidate.CachedTokens {
		return
	}
	transfer := weights.TransferSetup.Seconds() + float64(best.Tokens)/weights.TransferSpeed
	prefill := float64(request.PromptTokens()-best.Tokens) / speed
	if transfer+prefill >= candidate.Prefill {
		return
	}
	candidate.Source = best.Engine
	candidate.SourceTokens = best.Tokens
	candidate.Transfer = transfer
	candidate.Prefill = prefill
}

// wastedCache is the computing of tokens that the best-provided engine has.
func wastedCache(candidate *Candidate, best Cached, speed float64) float64 {
	if candidate.Source != "" || best.Tokens <= candidate.CachedTokens {
		return 0
	}
	return float64(best.Tokens-candidate.CachedTokens) / speed
}

// evictionCost is the computing of the tokens that don't fit beside what the
// engine has cached.
func evictionCost(engine *EngineState, request *Request, cached uint64, speed float64) float64 {
	if engine.CacheLimit == 0 {
		return 0
	}
	needed := engine.CacheUsed + request.PromptTokens() + request.OutputTokens - cached
	if needed <= engine.CacheLimit {
		return 0
	}
	return float64(needed-engine.CacheLimit) / speed
}
