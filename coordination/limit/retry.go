package limit

import (
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/recent"
)

// RetryPolicy sizes a retry budget.
type RetryPolicy struct {
	// Ratio is the number of retries that each first attempt earns.
	Ratio float64
	// MinPerSecond is the number of retries a second that are allowed without any
	// first attempt, so that little traffic can be retried.
	MinPerSecond float64
	// Burst bounds the number of retries saved up.
	Burst float64
	// Saved is the number of retries saved up at the start.
	Saved float64
}

// DefaultRetryPolicy allows retries to add a tenth to the load, the ratio that "Site
// Reliability Engineering" (chapter 21) recommends. The other figures are chosen, not
// measured.
func DefaultRetryPolicy() RetryPolicy {
	return RetryPolicy{Ratio: 0.1, MinPerSecond: 0.5, Burst: 20}
}

// HedgePolicy allows hedges, requests to further members where others are late, to add
// a tenth to the load, and a few a second where there is little. Members that are late
// together are overloaded, and more requests would make that worse: 200 turns at slow
// members cost 600 requests without the budget and at most 440 with it
// (turnstore.TestSlowMembersGetNoMoreRequests). The single figures are chosen.
func HedgePolicy() RetryPolicy {
	return RetryPolicy{Ratio: 0.1, MinPerSecond: 4, Burst: 20, Saved: 8}
}

// RetryBudget bounds the retries of a node, and of each of its tenants to half
// of the node's, so that a failure can't multiply the load. It is the token
// bucket of Finagle's RetryBudget, as also described in "Site Reliability
// Engineering" (Beyer et al. 2016), chapter 21.
type RetryBudget struct {
	policy RetryPolicy

	mutex   sync.Mutex
	node    Bucket
	tenants *recent.Map[Bucket]
}

const (
	// tenantFraction is the part of the node's retries that one tenant may use. Chosen,
	// not measured.
	tenantFraction = 0.5
	// tenantIdle is how long the budget of a tenant without calls is kept. Chosen, not
	// measured.
	tenantIdle = time.Minute
)

// NewRetryBudget makes a budget.
func NewRetryBudget(policy RetryPolicy, now time.Time) *RetryBudget {
	budget := &RetryBudget{
		policy: policy,
		node:   NewBucket(policy.MinPerSecond, policy.Burst, now),
	}
	budget.tenants = recent.New(tenantIdle, budget.newTenant)
	budget.node.Add(policy.Saved)
	return budget
}

func (r *RetryBudget) newTenant(now time.Time) Bucket {
	made := NewBucket(r.policy.MinPerSecond*tenantFraction, r.policy.Burst*tenantFraction, now)
	made.Add(r.policy.Saved)
	return made
}

// Attempted records a first attempt, which earns a part of a retry.
func (r *RetryBudget) Attempted(tenant string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.node.Add(r.policy.Ratio)
	r.tenants.Get(tenant, now).Add(r.policy.Ratio)
}

// Retry takes one retry; false means that the call must fail instead.
func (r *RetryBudget) Retry(tenant string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	own := r.tenants.Get(tenant, now)
	if own.Wait(1, now) > 0 {
		return false
	}
	if !r.node.Take(1, now) {
		return false
	}
	return own.Take(1, now)
}
