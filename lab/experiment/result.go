package experiment

// Result is the outcome of one trial: a deployment, a load, a fault and a
// policy. Times are in seconds.
type Result struct {
	Deployment string  `json:"deployment"`
	Workload   string  `json:"workload"`
	Load       float64 `json:"load"`
	Fault      Fault   `json:"fault"`
	Policy     string  `json:"policy"`

	// Programs started in the measured time, without those that hang or loop.
	Programs int `json:"programs"`
	// Completed within the deadline.
	Completed int `json:"completed"`
	// Limited programs hung or looped and were ended by a limit.
	Limited int `json:"limited"`
	// Latency is the time in which calls of the program were in the system,
	// without the pauses of tools and users. Failed programs count with the
	// deadline.
	Latency Percentiles `json:"latency_seconds"`
	// Queue is the part of it spent neither in prefill nor in decode.
	Queue Percentiles `json:"queue_seconds"`
	// Total is the time from start to end, pauses included.
	Total Percentiles `json:"total_seconds"`
	// Goodput is the completed programs per second.
	Goodput float64 `json:"goodput_per_second"`
	// Fairness is Jain's index over the tenants' completed shares.
	Fairness float64 `json:"fairness"`

	PromptTokens   int `json:"prompt_tokens"`
	ComputedTokens int `json:"computed_prompt_tokens"`
	// WastedTokens were computed although another engine had them.
	WastedTokens int `json:"wasted_tokens"`
	// EvictedTokens were computed again since no engine had them any more.
	EvictedTokens int `json:"evicted_tokens"`
	// UnusedHoldTokenSeconds is memory held for programs that didn't use it
	// again, times how long.
	UnusedHoldTokenSeconds float64 `json:"unused_hold_token_seconds"`

	Decisions         int `json:"decisions"`
	Refusals          int `json:"refusals"`
	EngineRefusals    int `json:"engine_refusals"`
	Failures          int `json:"failures"`
	Transfers         int `json:"transfers"`
	TransferredTokens int `json:"transferred_tokens"`
	FailedTransfers   int `json:"failed_transfers"`
}

// Percentiles of a distribution, in seconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}
