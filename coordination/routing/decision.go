package routing

import (
	"time"

	"github.com/marblering/marblering/state/result"
)

// Filter names the rule that rejected an engine.
type Filter string

// Filters, in the order in which they are applied.
const (
	FilterNone     Filter = ""
	FilterLeaving  Filter = "leaving"
	FilterEjected  Filter = "ejected"
	FilterExcluded Filter = "tried already"
	FilterRole     Filter = "role"
	FilterModel    Filter = "model not loaded"
	FilterAdapter  Filter = "adapter not loaded"
	FilterMemory   Filter = "context exceeds its memory"
)

// Transfer asks for context to be moved before the call.
type Transfer struct {
	From    string
	Address string
	Tokens  uint64
	// Prefill is set where the source has to compute the prompt first: it is
	// sent the request with a limit of one output token and a hold.
	Prefill bool
	// Work is what the source computes for that. The caller reserves it as it
	// does the decision's own.
	Work Work
}

// Candidate is an engine that was considered. The parts of its cost are in
// seconds, before weighting.
type Candidate struct {
	Engine string
	// Rejected is FilterNone where the engine was scored.
	Rejected Filter
	// Queue is the expected wait for work that is already there.
	Queue float64
	// Prefill is the time to compute the prompt tokens that aren't cached there.
	Prefill float64
	// Decode is the time to compute the answer.
	Decode float64
	// Transfer is the time to move context there; zero without a transfer.
	Transfer float64
	// Network is the cost of crossing zones.
	Network float64
	// Interference is the time that the call adds to those running there.
	Interference float64
	// WastedCache is the time to compute tokens that another engine has cached.
	WastedCache float64
	// Eviction is the time to compute again what would be pushed out of the
	// cache.
	Eviction float64
	// Cost is the weighted sum; the smallest wins.
	Cost float64
	// CachedTokens of the prompt are on the engine.
	CachedTokens uint64
	// Source is the engine to move context from; empty without a transfer.
	Source string
	// SourceTokens would be moved from it.
	SourceTokens uint64
	// RemotePrefill is set where the source computes the prompt first.
	RemotePrefill bool

	index   int
	urgency float64
}

// Latency is the expected time from dispatch to the whole answer.
func (c *Candidate) Latency() time.Duration {
	return seconds(c.Queue + c.Prefill + c.Decode + c.Transfer + c.Network)
}

// Decision is the outcome of Choose.
type Decision struct {
	// Engine is empty where Err is set.
	Engine  string
	Address string
	// Priority is what to send to the engine; smaller is served first.
	Priority uint32
	// Transfer is nil where no context is to be moved.
	Transfer *Transfer
	// Expected is the time from dispatch to the whole answer.
	Expected time.Duration
	// Unloaded is what that would be on the best engine if all were idle.
	Unloaded time.Duration
	// MemoryUse is the share of the scored engines' context memory that is in
	// use; zero where no limit is known.
	MemoryUse float64
	// Work is what the engine is going to compute.
	Work Work
	// Candidates are the scored engines, best first, then a bounded number of
	// the rejected ones.
	Candidates []Candidate
	// Reason says in one line why the engine was chosen or none was.
	Reason string
	// Err is a refusal with its Retry-After.
	Err *result.Error
}

func seconds(amount float64) time.Duration {
	return time.Duration(amount * float64(time.Second))
}
