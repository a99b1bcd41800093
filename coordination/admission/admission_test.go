package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/coordination/admission"
	"github.com/marblering/marblering/coordination/limit"
)

var testTime = time.Unix(1_000_000, 0)

// TestPointMatchesModel compares the admission point with a model based on a map.
func TestPointMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 1000
		point := admission.NewController(time.Hour)
		point.SetCapacity("e", admission.Capacity{MaxTokens: capacity, TokensPerSecond: 100})
		inside := make(map[string]uint64)
		var total uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "request"))
			if rapid.Bool().Draw(t, "release") {
				point.Release("e", id)
				total -= inside[id]
				delete(inside, id)
				continue
			}
			tokens := rapid.Uint64Range(1, 1200).Draw(t, "tokens")
			verdict := point.Reserve(admission.Reservation{Engine: "e", RequestID: id, PromptTokens: tokens}, testTime)
			_, repeated := inside[id]
			fits := repeated || len(inside) == 0 || total+tokens <= capacity
			assert.Equal(t, verdict.Admitted, fits)
			assert.Equal(t, verdict.RetryAfter > 0, !fits)
			if fits && !repeated {
				inside[id] = tokens
				total += tokens
			}
			assert.Equal(t, verdict.OutstandingTokens, total)
		}
	})
}

func TestReservationsExpire(t *testing.T) {
	point := admission.NewController(time.Minute)
	point.SetCapacity("e", admission.Capacity{MaxRequests: 2})
	reserve := func(id string, deadline, now time.Time) bool {
		return point.Reserve(admission.Reservation{Engine: "e", RequestID: id, PromptTokens: 10, Deadline: deadline}, now).Admitted
	}
	assert.Assert(t, reserve("lost", time.Time{}, testTime))
	assert.Assert(t, reserve("short", testTime.Add(time.Second), testTime))
	assert.Assert(t, !reserve("third", time.Time{}, testTime))
	assert.Assert(t, reserve("third", time.Time{}, testTime.Add(2*time.Second)))
	tokens, requests := point.Outstanding("e", testTime.Add(2*time.Minute))
	assert.Equal(t, tokens, uint64(0))
	assert.Equal(t, requests, 0)
}

func TestRefusalsStaggerRetryAfter(t *testing.T) {
	point := admission.NewController(time.Hour)
	point.SetCapacity("e", admission.Capacity{MaxTokens: 1000, TokensPerSecond: 1000})
	reserve := func(id string) admission.Decision {
		return point.Reserve(admission.Reservation{Engine: "e", RequestID: id, PromptTokens: 1000}, testTime)
	}
	assert.Assert(t, reserve("0").Admitted)
	for i := 1; i <= 5; i++ {
		assert.Equal(t, reserve(fmt.Sprint(i)).RetryAfter, time.Duration(i)*time.Second)
	}
}

// nodeClient is a Granter whose pool may be unreachable.
type nodeClient struct {
	pool    *admission.Pool
	reached bool
	now     time.Time
}

func (n nodeClient) Grant(name string, needed float64) (admission.Lease, bool) {
	if !n.reached {
		return admission.Lease{}, false
	}
	return n.pool.Grant(name, needed, n.now), true
}

// TestSharesStayWithinRateBound checks the bound documented at Pool over
// every window, with one node that may be cut off from the pool.
func TestSharesStayWithinRateBound(t *testing.T) {
	const nodes, lifetime = 4, 2 * time.Second
	rate := limit.Rate{TokensPerSecond: 100, Burst: 200}
	rapid.Check(t, func(t *rapid.T) {
		pool := admission.NewPool(lifetime)
		pool.SetRate("tenant", rate, testTime)
		var shares [nodes]*admission.NodeLimiter
		for i := range shares {
			shares[i] = admission.NewNodeLimiter(nodes)
		}
		cutNode := rapid.IntRange(-1, nodes-1).Draw(t, "cut node")
		now := testTime
		var uses []use
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			tokens := rapid.Float64Range(1, 50).Draw(t, "tokens")
			client := nodeClient{pool: pool, reached: node != cutNode, now: now}
			if shares[node].Use("tenant", rate, tokens, client, now) == 0 {
				uses = append(uses, use{at: now, tokens: tokens})
			}
		}
		perSecond, burst := rate.TokensPerSecond, rate.Burst
		if cutNode >= 0 {
			perSecond *= 1 + 1.0/nodes
			burst *= 1 + 1.0/nodes
		}
		checkRateBound(t, uses, perSecond, burst, lifetime)
	})
}

type use struct {
	at     time.Time
	tokens float64
}

func checkRateBound(t *rapid.T, uses []use, perSecond, burst float64, lifetime time.Duration) {
	for first := range uses {
		total := 0.0
		for _, last := range uses[first:] {
			total += last.tokens
			window := last.at.Sub(uses[first].at) + lifetime
			assert.Assert(t, total <= perSecond*window.Seconds()+burst+1e-6)
		}
	}
}

func TestSingleNodeCanUseWholeRate(t *testing.T) {
	rate := limit.Rate{TokensPerSecond: 100, Burst: 200}
	pool := admission.NewPool(2 * time.Second)
	pool.SetRate("tenant", rate, testTime)
	share := admission.NewNodeLimiter(4)
	used := 0.0
	for i := range 1000 {
		now := testTime.Add(time.Duration(i) * 10 * time.Millisecond)
		if share.Use("tenant", rate, 10, nodeClient{pool: pool, reached: true, now: now}, now) == 0 {
			used += 10
		}
	}
	assert.Assert(t, used >= 900, "used %v of 1000 tokens", used)
}

func TestShedderPrefersRunningProgramsAndStaggersRetries(t *testing.T) {
	shedder := admission.NewShedder(admission.ShedPolicy{MaxSlowdown: 2, MaxQueue: 10 * time.Second, MaxScheduledRetry: 4 * time.Second, BackoffRetryAfter: time.Minute})
	random := rand.New(rand.NewPCG(1, 2))
	demand := admission.Demand{ExpectedDuration: 10 * time.Second, UnloadedDuration: 4 * time.Second, ServiceTime: 4 * time.Second, Engines: 4}
	delays := []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute, time.Minute}
	for _, want := range delays {
		assert.Equal(t, shedder.Admit(demand, random, testTime), want)
	}
	demand.Started = true
	assert.Equal(t, shedder.Admit(demand, random, testTime), time.Duration(0))
	demand.ExpectedQueue = 11 * time.Second
	assert.Assert(t, shedder.Admit(demand, random, testTime) > 0)
	light := admission.Demand{ExpectedDuration: 8 * time.Second, UnloadedDuration: 4 * time.Second, Engines: 4}
	assert.Equal(t, shedder.Admit(light, random, testTime), time.Duration(0))
}
