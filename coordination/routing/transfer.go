package routing

// minRemotePrefill is the least number of uncached prompt tokens for which
// another engine is asked to compute the prompt.
const minRemotePrefill = 256

// transferTime is the time to move context between two engines, in seconds.
// Export and import don't overlap, so both count.
func transferTime(weights *Weights, source, target *EngineState, tokens uint64) (float64, bool) {
	out := transferSpeed(weights, source)
	in := transferSpeed(weights, target)
	if out <= 0 || in <= 0 {
		return 0, false
	}
	return weights.TransferSetup.Seconds() + float64(tokens)/out + float64(tokens)/in, true
}

func transferSpeed(weights *Weights, engine *EngineState) float64 {
	if engine.TransferSpeed > 0 {
		return engine.TransferSpeed
	}
	return weights.TransferSpeed
}

// moved brings the context there from the engine that has most of it.
func (r *ranking) moved(candidate Candidate, engine *EngineState, load *load) (Candidate, bool) {
	source := r.engine(r.movable.Engine)
	if source == nil || r.movable.Tokens <= candidate.CachedTokens || source.Name == engine.Name {
		return candidate, false
	}
	transfer, possible := transferTime(&r.snapshot.Weights, source, engine, r.movable.Tokens)
	if !possible {
		return candidate, false
	}
	speed := prefillSpeed(engine)
	candidate.Transfer = transfer
	candidate.Source = source.Name
	candidate.SourceTokens = r.movable.Tokens
	candidate.Prefill = float64(r.request.PromptTokens()-r.movable.Tokens) / speed
	candidate.Queue = load.promptTokens/speed + slotWait(engine, load, candidate.Decode)
	candidate.Interference = interference(engine, r.request, load, candidate.Prefill)
	candidate.Cost = weightedCost(&r.snapshot.Weights, &candidate)
	return candidate, true
}

// remotePrefill is an engine that computes the prompt for another one.
type remotePrefill struct {
	engine       *EngineState
	cached       uint64
	queue        float64
	prefill      float64
	interference float64
	eviction     float64
}

// findRemotePrefill returns the engine on which computing the prompt costs
// least, including the time that its running requests lose.
func (r *ranking) findRemotePrefill() remotePrefill {
	var cheapest remotePrefill
	for i, index := range r.indexes {
		engine := &r.snapshot.Engines[index]
		if transferSpeed(&r.snapshot.Weights, engine) <= 0 {
			continue
		}
		cached := r.request.cachedOn(engine.Name)
		speed := prefillSpeed(engine)
		remote := remotePrefill{
			engine:  engine,
			cached:  cached,
			queue:   r.loads[i].promptTokens / speed,
			prefill: float64(r.request.PromptTokens()-cached) / speed,
			// The memory taken there serves this call only until the move.
			eviction: evictionCost(engine, r.request, cached, &r.loads[i]),
		}
		remote.interference = r.loads[i].urgency * remote.prefill
		if cheapest.engine == nil || remote.cost(r.urgency) < cheapest.cost(r.urgency) {
			cheapest = remote
		}
	}
	return cheapest
}

func (r *remotePrefill) cost(urgency float64) float64 {
	return urgency*(r.queue+r.prefill) + r.interference + r.eviction
}

// remotely computes the prompt on another engine and brings its context there,
// so that the prompt doesn't hold up the answers that run there.
func (r *ranking) remotely(candidate Candidate, engine *EngineState, load *load) (Candidate, bool) {
	prompt := r.request.PromptTokens()
	remote := &r.remote
	if remote.engine == nil || remote.engine == engine || prompt-candidate.CachedTokens < minRemotePrefill {
		return candidate, false
	}
	transfer, possible := transferTime(&r.snapshot.Weights, remote.engine, engine, prompt)
	if !possible {
		return candidate, false
	}
	candidate.Transfer = transfer
	candidate.Source = remote.engine.Name
	candidate.SourceTokens = prompt
	candidate.RemotePrefill = true
	candidate.Prefill = remote.prefill
	candidate.Queue = remote.queue + slotWait(engine, load, candidate.Decode)
	candidate.Interference = remote.interference + interference(engine, r.request, load, 0)
	candidate.Eviction += remote.eviction
	candidate.WastedCache = r.wasted(remote.cached, prefillSpeed(remote.engine))
	candidate.Cost = weightedCost(&r.snapshot.Weights, &candidate)
	return candidate, true
}

// engine finds an engine of the snapshot by its name.
func (r *ranking) engine(name string) *EngineState {
	if name == "" {
		return nil
	}
	for i := range r.snapshot.Engines {
		if r.snapshot.Engines[i].Name == name {
			return &r.snapshot.Engines[i]
		}
	}
	return nil
}
