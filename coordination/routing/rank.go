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
	candidate := Candidate{Engine: engine.Name, CachedTokens: cached, index: index}
	candidate.Queue = expectedQueue(snapshot, engine)
	candidate.Prefill = float64(request.PromptTokens()-cached) / speed
	candidate.Decode = float64(request.OutputTokens) / decodeSpeed(engine)
	candidate.Network = networkCost(weights, request, engine)
	considerTransfer(&candidate, weights, request, best, speed)
	candidate.WastedCache = wastedCache(&candidate, best, speed)
	candidate.Eviction = evictionCost(engine, request, cached, speed)
	candidate.Cost = weightedCost(weights, &candidate)
	return candidate
}

func weightedCost(weights *Weights, candidate *Candidate) float64 {
	latency := candidate.Queue + candidate.Prefill + candidate.Decode + candidate.Transfer + candidate.Network
	return weights.Latency*latency +
		weights.WastedCache*candidate.WastedCache +
		weights.Eviction*candidate.Eviction
}

func prefillSpeed(engine *EngineState) float64 {
	if engine.PrefillSpeed > 0 {
		return engine.PrefillSpeed
	}
	return defaultPrefillSpeed
}

func decodeSpeed(engine *EngineState) float64 {
	if engine.DecodeSpeed > 0 {
		return engine.DecodeSpeed
	}
	return defaultDecodeSpeed
}

// expectedQueue estimates the seconds until the engine starts on a new prompt:
// the reported backlog less what it has computed since, corrected by the own
// work that the report can't show, and never less than the own prompts in
// flight.
func expectedQueue(snapshot *Snapshot, engine *EngineState) float64 {
	speed := prefillSpeed(engine)
	backlog := 0.0
	if !engine.ReportedAt.IsZero() {
		age := max(snapshot.Now.Sub(engine.ReportedAt), time.Duration(0)).Seconds()
		backlog = float64(engine.OutstandingTokens) - age*speed
	}
	if snapshot.Pending == nil {
		return max(backlog, 0) / speed
	}
	own := snapshot.Pending.Pending(engine.Name, engine.ReportedAt)
	backlog = max(backlog-float64(own.Finished.PromptTokens), 0)
	backlog += float64(own.Added.PromptTokens)
	return max(backlog, float64(own.InFlight.PromptTokens)) / speed
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
