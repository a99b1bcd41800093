package experiment

import (
	"maps"
	"slices"
	"time"

	"github.com/marblering/marblering/lab/engine"
)

// recorder collects the measurements of one trial, of the programs that start
// after the warm-up.
type recorder struct {
	trial *trial
	trees []measuredTree

	promptTokens   int
	computedTokens int
	wastedTokens   int
	evictedTokens  int

	unusedTokenSeconds float64

	decisions         int
	refusals          int
	engineRefusals    int
	failures          int
	transfers         int
	transferredTokens int
	failedTransfers   int
	limited           int
}

// measuredTree is a program tree whose latency counts.
type measuredTree struct {
	tenant string
	failed bool
	// latency is the time in which calls were in the system; total includes
	// the pauses.
	latency time.Duration
	queue   time.Duration
	total   time.Duration
}

func newRecorder(t *trial) *recorder { return &recorder{trial: t} }

// measures says whether a program tree started within the measured time.
func (r *recorder) measures(root *tree) bool {
	return root.started >= r.trial.warmup && root.started < r.trial.duration
}

// finish takes in a tree that has ended. A failed one counts with the deadline,
// the least its latency could have been.
func (r *recorder) finish(s *simulation, root *tree) {
	if !r.measures(root) {
		return
	}
	if !root.script.counted() {
		r.limited++
		return
	}
	measured := measuredTree{
		tenant:  root.script.tenant,
		failed:  root.failed,
		latency: root.busy.union(),
		queue:   root.queued.union(),
		total:   s.schedule.now - root.started,
	}
	if root.failed {
		measured.latency = max(measured.latency, r.trial.workload.deadline)
		measured.queue = max(measured.queue, measured.latency)
		measured.total = max(measured.total, measured.latency)
	}
	r.trees = append(r.trees, measured)
}

// prefilled takes in what an engine computed of a prompt.
func (r *recorder) prefilled(a *attempt, usage engine.Usage) {
	if !r.measures(a.call.program.tree) {
		return
	}
	r.promptTokens += usage.PromptTokens
	r.computedTokens += usage.PromptTokens - usage.CachedTokens
	wasted := max(a.bestElsewhere-usage.CachedTokens, 0)
	r.wastedTokens += wasted
	if a.call.program.turns == 0 {
		return
	}
	history := wholeBlocks(usage.PromptTokens - a.call.step.newTokens)
	r.evictedTokens += max(history-usage.CachedTokens-wasted, 0)
}

// unusedHold takes in held memory that was given back without use.
func (r *recorder) unusedHold(h *hold, now time.Duration) {
	if h.since >= r.trial.warmup && h.since < r.trial.duration {
		r.unusedTokenSeconds += float64(h.tokens) * (now - h.since).Seconds()
	}
}

// result closes the books. Trees that haven't ended count as failed.
func (r *recorder) result(s *simulation) Result {
	for _, root := range s.trees {
		if !root.ended && root.script.counted() {
			s.endTree(root, true)
		}
	}
	window := (r.trial.duration - r.trial.warmup).Seconds()
	result := Result{
		Deployment:             r.trial.deployment.Name,
		Workload:               r.trial.workload.name,
		Load:                   r.trial.load,
		Fault:                  r.trial.fault,
		Policy:                 r.trial.policy.name,
		Programs:               len(r.trees),
		Limited:                r.limited,
		PromptTokens:           r.promptTokens,
		ComputedTokens:         r.computedTokens,
		WastedTokens:           r.wastedTokens,
		EvictedTokens:          r.evictedTokens,
		UnusedHoldTokenSeconds: r.unusedTokenSeconds,
		Fairness:               r.fairness(),
		Decisions:              r.decisions,
		Refusals:               r.refusals,
		EngineRefusals:         r.engineRefusals,
		Failures:               r.failures,
		Transfers:              r.transfers,
		TransferredTokens:      r.transferredTokens,
		FailedTransfers:        r.failedTransfers,
	}
	for _, measured := range r.trees {
		if !measured.failed {
			result.Completed++
		}
	}
	result.Goodput = float64(result.Completed) / window
	result.Latency = r.percentiles(func(m *measuredTree) time.Duration { return m.latency })
	result.Queue = r.percentiles(func(m *measuredTree) time.Duration { return m.queue })
	result.Total = r.percentiles(func(m *measuredTree) time.Duration { return m.total })
	return result
}

func (r *recorder) percentiles(of func(*measuredTree) time.Duration) Percentiles {
	values := make([]time.Duration, len(r.trees))
	for i := range r.trees {
		values[i] = of(&r.trees[i])
	}
	slices.Sort(values)
	return Percentiles{P50: quantile(values, 0.50), P95: quantile(values, 0.95), P99: quantile(values, 0.99)}
}

// quantile returns the smallest value that at least the share of the sorted
// values doesn't exceed, in seconds.
func quantile(sorted []time.Duration, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	index := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)].Seconds()
}

// fairness is Jain's index over the tenants' shares of completed programs
// (Jain, Chiu and Hawe 1984): 1 if all are served alike, 1/n if one is alone.
func (r *recorder) fairness() float64 {
	asked := make(map[string]float64)
	served := make(map[string]float64)
	for _, measured := range r.trees {
		asked[measured.tenant]++
		if !measured.failed {
			served[measured.tenant]++
		}
	}
	var sum, squares float64
	for _, tenant := range slices.Sorted(maps.Keys(asked)) {
		share := served[tenant] / asked[tenant]
		sum += share
		squares += share * share
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(asked)) * squares)
}
