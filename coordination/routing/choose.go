package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marblering/marblering/state/result"
)

// maxRejected bounds how many rejected engines a decision lists.
const maxRejected = 16

// noEngineRetry is the pause asked for where no engine can serve a request.
const noEngineRetry = time.Second

// Choose decides which engine serves the request. The random source is used
// only to draw among engines of nearly equal cost.
func Choose(snapshot *Snapshot, request *Request, random *rand.Rand) Decision {
	kept, rejected := filterEngines(snapshot, request)
	if len(kept) == 0 {
		return refuseWithoutEngine(request, rejected)
	}
	ranking := newRanking(snapshot, request, kept)
	candidates := ranking.scoreAll(len(rejected))
	best := draw(candidates, snapshot.Weights.Tolerance, random)
	if refusal := shed(snapshot, request, &candidates[best]); refusal != nil {
		return Decision{Candidates: append(candidates, rejected...), Reason: refusal.Message, Err: refusal}
	}
	candidates[0], candidates[best] = candidates[best], candidates[0]
	decision := accept(snapshot, request, append(candidates, rejected...))
	decision.Unloaded = seconds(ranking.unloaded())
	decision.MemoryUse = ranking.memoryUse()
	return decision
}

// filterEngines returns the subset of the feasible engines and a bounded list
// of the rejected ones.
func filterEngines(snapshot *Snapshot, request *Request) (kept []int, rejected []Candidate) {
	chosen := newSubset(request, snapshot.subsetSize(), len(snapshot.Engines))
	for i := range snapshot.Engines {
		filter := feasible(&snapshot.Engines[i], request)
		if filter == FilterNone {
			engine := &snapshot.Engines[i]
			chosen.add(i, engine, request.cachedOn(engine.Name) > 0)
			continue
		}
		if len(rejected) < maxRejected {
			rejected = append(rejected, Candidate{Engine: snapshot.Engines[i].Name, Rejected: filter, index: i})
		}
	}
	return chosen.engines(), rejected
}

// scoreAll scores the subset, best first, and leaves room for rejected engines.
func (r *ranking) scoreAll(spare int) []Candidate {
	candidates := make([]Candidate, 0, len(r.indexes)+spare)
	for position := range r.indexes {
		candidates = append(candidates, r.score(position))
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Engine, b.Engine))
	})
	return candidates
}

// bestCached is the engine, feasible or not, that has most of the prompt. Shared
// prefixes can't be moved, so they count only where alsoShared is set.
func bestCached(request *Request, alsoShared bool) Cached {
	var best Cached
	for _, cached := range request.CachedOn {
		tokens := min(cached.Tokens, request.PromptTokens())
		if tokens > best.Tokens && (alsoShared || !cached.Shared) {
			best = Cached{Engine: cached.Engine, Tokens: tokens, Shared: cached.Shared}
		}
	}
	return best
}

// draw picks at random among the candidates whose cost is within the relative
// tolerance of the least; candidates are sorted by cost.
func draw(candidates []Candidate, tolerance float64, random *rand.Rand) int {
	limit := candidates[0].Cost * (1 + tolerance)
	equal := 1
	for equal < len(candidates) && candidates[equal].Cost <= limit {
		equal++
	}
	if equal == 1 || random == nil {
		return 0
	}
	return random.IntN(equal)
}

func accept(snapshot *Snapshot, request *Request, candidates []Candidate) Decision {
	chosen := &candidates[0]
	decision := Decision{
		Engine:     chosen.Engine,
		Address:    snapshot.Engines[chosen.index].Address,
		Priority:   Priority(request.Priority, request.AttainedTokens),
		Expected:   chosen.Latency(),
		Candidates: candidates,
		Reason:     explain(chosen),
		Work: Work{
			Requests:      1,
			PromptTokens:  request.PromptTokens() - chosen.CachedTokens,
			OutputTokens:  request.OutputTokens,
			ContextTokens: request.PromptTokens() + request.OutputTokens - chosen.CachedTokens,
			Urgency:       percent(urgency(&snapshot.Weights, request.AttainedTokens)),
		},
	}
	if chosen.Source != "" {
		decision.Transfer = newTransfer(snapshot, request, chosen)
		decision.Work.PromptTokens = request.PromptTokens() - chosen.SourceTokens
	}
	return decision
}

func newTransfer(snapshot *Snapshot, request *Request, chosen *Candidate) *Transfer {
	transfer := &Transfer{From: chosen.Source, Tokens: chosen.SourceTokens, Prefill: chosen.RemotePrefill}
	for i := range snapshot.Engines {
		if snapshot.Engines[i].Name == chosen.Source {
			transfer.Address = snapshot.Engines[i].Address
		}
	}
	if transfer.Prefill {
		cached := request.cachedOn(chosen.Source)
		computed := request.PromptTokens() - cached
		transfer.Work = Work{
			Requests:      1,
			PromptTokens:  computed,
			OutputTokens:  1,
			ContextTokens: computed,
			Urgency:       percent(urgency(&snapshot.Weights, request.AttainedTokens)),
		}
	}
	return transfer
}

func explain(chosen *Candidate) string {
	reason := fmt.Sprintf("least cost %.3fs: queue %.3fs, prefill %.3fs with %d tokens cached",
		chosen.Cost, chosen.Queue, chosen.Prefill, chosen.CachedTokens)
	switch {
	case chosen.RemotePrefill:
		reason += fmt.Sprintf(", prompt computed on %s and moved in %.3fs", chosen.Source, chosen.Transfer)
	case chosen.Source != "":
		reason += fmt.Sprintf(", %d tokens moved from %s in %.3fs", chosen.SourceTokens, chosen.Source, chosen.Transfer)
	}
	return reason
}

func refuseWithoutEngine(request *Request, rejected []Candidate) Decision {
	reason := "no engine is known"
	if len(rejected) > 0 {
		reason = fmt.Sprintf("no engine can serve model %q: %s: %s", request.Model, rejected[0].Engine, rejected[0].Rejected)
	}
	refusal := result.Errorf(result.NoEngine, "%s", reason).WithRetryAfter(noEngineRetry)
	return Decision{Candidates: rejected, Reason: reason, Err: refusal}
}

// shed refuses a call that would wait too long or miss its deadline anyway.
func shed(snapshot *Snapshot, request *Request, best *Candidate) *result.Error {
	queue := seconds(best.Queue)
	if snapshot.MaxQueue > 0 && queue > snapshot.MaxQueue {
		return result.Errorf(result.Overloaded, "the least loaded engine has %s of work ahead, the limit is %s",
			queue.Round(time.Millisecond), snapshot.MaxQueue).WithRetryAfter(queue - snapshot.MaxQueue)
	}
	if request.Deadline.IsZero() {
		return nil
	}
	left := request.Deadline.Sub(snapshot.Now)
	if expected := best.Latency(); expected > left {
		return result.Errorf(result.DeadlineExceeded, "the answer is expected in %s, the deadline is in %s",
			expected.Round(time.Millisecond), left.Round(time.Millisecond)).WithRetryAfter(queue)
	}
	return nil
}
