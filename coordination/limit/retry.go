package limit

import (
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/recent"
)

// RetryPolicy configures a RetryBudget.
type RetryPolicy struct {
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// MinPerSecond is the number of retries per second that are allowed without any first
	// attempts, so that requests can be retried under low traffic.
	MinPerSecond float64
	// Burst is the maximum number of unused retries in the budget.
	Burst float64
	// InitialRetries is the number of retries in the budget at the start.
	InitialRetries float64
}

// DefaultRetryPolicy allows retries to add a tenth to the load, as recommended in "Site
// Reliability Engineering" (Beyer et al. 2016), chapter 21.
func DefaultRetryPolicy() RetryPolicy {
	return RetryPolicy{Ratio: 0.1, MinPerSecond: 0.5, Burst: 20}
}

// DefaultHedgePolicy allows hedges (requests to further members when others are late) to add a
// tenth to the load, and a few per second under low traffic. Members that are late
// together are overloaded, and unbounded hedging would add to their load.
func DefaultHedgePolicy() RetryPolicy {
	return RetryPolicy{Ratio: 0.1, MinPerSecond: 4, Burst: 20, InitialRetries: 8}
}

// RetryBudget bounds the retries of a node and of each of its tenants, so that a failure
// can't multiply the load. It consists of token buckets like Finagle's RetryBudget; see
// also "Site Reliability Engineering" (Beyer et al. 2016), chapter 21.
type RetryBudget struct {
	policy RetryPolicy

	mutex   sync.Mutex
	node    Bucket
	tenants *recent.Map[Bucket]
}

const (
	// tenantFraction is the fraction of the node's MinPerSecond and Burst that each tenant
	// gets.
	tenantFraction = 0.5
	// tenantIdleTimeout is how long the budget of a tenant without calls is kept.
	tenantIdleTimeout = time.Minute
)

// NewRetryBudget returns a budget with policy.InitialRetries retries.
func NewRetryBudget(policy RetryPolicy, now time.Time) *RetryBudget {
	budget := &RetryBudget{
		policy: policy,
		node:   NewBucket(policy.MinPerSecond, policy.Burst, now),
	}
	budget.tenants = recent.New(tenantIdleTimeout, budget.newTenant)
	budget.node.Add(policy.InitialRetries)
	return budget
}

func (r *RetryBudget) newTenant(now time.Time) Bucket {
	bucket := NewBucket(r.policy.MinPerSecond*tenantFraction, r.policy.Burst*tenantFraction, now)
	bucket.Add(r.policy.InitialRetries)
	return bucket
}

// RecordAttempt records a first attempt, which adds Ratio retries to the budget.
func (r *RetryBudget) RecordAttempt(tenant string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.node.Add(r.policy.Ratio)
	r.tenants.Get(tenant, now).Add(r.policy.Ratio)
}

// TryRetry takes a retry from the budget and reports whether one was available. If not, the
// caller must not retry.
func (r *RetryBudget) TryRetry(tenant string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	bucket := r.tenants.Get(tenant, now)
	if bucket.Wait(1, now) > 0 {
		return false
	}
	if !r.node.Take(1, now) {
		return false
	}
	return bucket.Take(1, now)
}
