package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/coordination/limit"
)

var testTime = time.Unix(1_000_000, 0)

// TestAdmissionMatchesModel compares the admission point with a plain map.
func TestAdmissionMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 1000
		point := limit.NewAdmission(time.Hour)
		point.SetCapacity("e", limit.Capacity{MaxTokens: capacity, TokensPerSecond: 100})
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
			verdict := point.Reserve(limit.Reservation{Engine: "e", RequestID: id, PromptTokens: tokens}, testTime)
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

func TestAdmissionExpires(t *testing.T) {
	point := limit.NewAdmission(time.Minute)
	point.SetCapacity("e", limit.Capacity{MaxRequests: 2})
	reserve := func(id string, deadline, now time.Time) bool {
		return point.Reserve(limit.Reservation{Engine: "e", RequestID: id, PromptTokens: 10, Deadline: deadline}, now).Admitted
	}
	assert.Assert(t, reserve("lost", time.Time{}, testTime))
	assert.Assert(t, reserve("short", testTime.Add(time.Second), testTime))
	assert.Assert(t, !reserve("third", time.Time{}, testTime))
	assert.Assert(t, reserve("third", time.Time{}, testTime.Add(2*time.Second)))
	tokens, requests := point.Outstanding("e", testTime.Add(2*time.Minute))
	assert.Equal(t, tokens, uint64(0))
	assert.Equal(t, requests, 0)
}

func TestRefusedCallsComeBackOneAfterAnother(t *testing.T) {
	point := limit.NewAdmission(time.Hour)
	point.SetCapacity("e", limit.Capacity{MaxTokens: 1000, TokensPerSecond: 1000})
	reserve := func(id string) limit.Verdict {
		return point.Reserve(limit.Reservation{Engine: "e", RequestID: id, PromptTokens: 1000}, testTime)
	}
	assert.Assert(t, reserve("0").Admitted)
	for i := 1; i <= 5; i++ {
		assert.Equal(t, reserve(fmt.Sprint(i)).RetryAfter, time.Duration(i)*time.Second)
	}
}

// nodeClient reaches the pool, or doesn't.
type nodeClient struct {
	pool    *limit.Pool
	reached bool
	now     time.Time
}

func (n nodeClient) Grant(name string, needed float64) (limit.Slice, bool) {
	if !n.reached {
		return limit.Slice{}, false
	}
	return n.pool.Grant(name, needed, n.now), true
}

// TestSharesHoldTheBound drives nodes that sometimes lose their pool and
// checks the documented bound over every window.
func TestSharesHoldTheBound(t *testing.T) {
	const nodes, lifetime = 4, 2 * time.Second
	rate := limit.Rate{TokensPerSecond: 100, Burst: 200}
	rapid.Check(t, func(t *rapid.T) {
		pool := limit.NewPool(lifetime)
		pool.SetRate("tenant", rate, testTime)
		var shares [nodes]*limit.Share
		for i := range shares {
			shares[i] = limit.NewShare(nodes)
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
		checkWindows(t, uses, perSecond, burst, lifetime)
	})
}

type use struct {
	at     time.Time
	tokens float64
}

func checkWindows(t *rapid.T, uses []use, perSecond, burst float64, lifetime time.Duration) {
	for first := range uses {
		total := 0.0
		for _, last := range uses[first:] {
			total += last.tokens
			window := last.at.Sub(uses[first].at) + lifetime
			assert.Assert(t, total <= perSecond*window.Seconds()+burst+1e-6)
		}
	}
}

func TestShareUsesTheWholeRateFromOneNode(t *testing.T) {
	rate := limit.Rate{TokensPerSecond: 100, Burst: 200}
	pool := limit.NewPool(2 * time.Second)
	pool.SetRate("tenant", rate, testTime)
	share := limit.NewShare(4)
	used := 0.0
	for i := range 1000 {
		now := testTime.Add(time.Duration(i) * 10 * time.Millisecond)
		if share.Use("tenant", rate, 10, nodeClient{pool: pool, reached: true, now: now}, now) == 0 {
			used += 10
		}
	}
	assert.Assert(t, used >= 900, "used %v of 1000", used)
}

func TestRetriesAddABoundedLoad(t *testing.T) {
	policy := limit.RetryPolicy{Ratio: 0.1, Burst: 5}
	budget := limit.NewRetryBudget(policy, testTime)
	retries := map[string]int{}
	for i := range 1000 {
		tenant := []string{"broken", "other"}[i%2]
		budget.Attempted(tenant, testTime)
		for range 3 {
			if budget.Retry(tenant, testTime) {
				retries[tenant]++
			}
		}
	}
	assert.Assert(t, retries["broken"]+retries["other"] <= 100)
	assert.Assert(t, retries["broken"] >= 40 && retries["other"] >= 40, "%v", retries)
}

func TestShedderPrefersBegunProgramsAndSpreadsReturns(t *testing.T) {
	shedder := limit.NewShedder(limit.ShedPolicy{MaxStretch: 2, MaxQueue: 10 * time.Second, MaxLine: 4 * time.Second, Away: time.Minute})
	random := rand.New(rand.NewPCG(1, 2))
	demand := limit.Demand{Expected: 10 * time.Second, Unloaded: 4 * time.Second, Service: 4 * time.Second, Engines: 4}
	pauses := []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute, time.Minute}
	for _, want := range pauses {
		assert.Equal(t, shedder.Admit(demand, random, testTime), want)
	}
	demand.Begun = true
	assert.Equal(t, shedder.Admit(demand, random, testTime), time.Duration(0))
	demand.ExpectedQueue = 11 * time.Second
	assert.Assert(t, shedder.Admit(demand, random, testTime) > 0)
	light := limit.Demand{Expected: 8 * time.Second, Unloaded: 4 * time.Second, Engines: 4}
	assert.Equal(t, shedder.Admit(light, random, testTime), time.Duration(0))
}

func TestDeadlineTravels(t *testing.T) {
	deadline, err := limit.ParseDeadline("1500", testTime)
	assert.NilError(t, err)
	value, left := limit.FormatDeadline(deadline, testTime.Add(time.Second), 100*time.Millisecond)
	assert.Equal(t, value, "400")
	assert.Assert(t, left)
	_, left = limit.FormatDeadline(deadline, testTime.Add(2*time.Second), 0)
	assert.Assert(t, !left)
	for _, bad := range []string{"0", "-3", "soon", "1.5"} {
		_, err = limit.ParseDeadline(bad, testTime)
		assert.ErrorContains(t, err, bad)
	}
	deadline, err = limit.ParseDeadline("9223372036854775807", testTime)
	assert.NilError(t, err)
	assert.Assert(t, deadline.After(testTime))
}

func TestEjectionAndReturn(t *testing.T) {
	policy := limit.DefaultEjectionPolicy()
	ejector := limit.NewEjector(policy)
	now := testTime
	serve := func(engine string, factor int) limit.EngineHealth {
		return ejector.Observe(engine, limit.Outcome{Expected: time.Second, Took: time.Duration(factor) * time.Second}, now)
	}
	for range 10 {
		for i := range 9 {
			serve(fmt.Sprint("good-", i), 1)
		}
		serve("slow", 5)
	}
	assert.Equal(t, ejector.Health("slow", now), limit.Ejected)
	assert.Equal(t, ejector.Health("good-0", now), limit.Healthy)

	now = now.Add(policy.BaseTime)
	assert.Equal(t, ejector.Health("slow", now), limit.Probed)
	assert.Assert(t, ejector.Probe("slow", time.Minute, now))
	assert.Assert(t, !ejector.Probe("slow", time.Minute, now), "two probes at once")
	assert.Equal(t, serve("slow", 5), limit.Ejected)
	now = now.Add(policy.BaseTime)
	assert.Equal(t, ejector.Health("slow", now), limit.Ejected, "the second ejection is longer")
	now = now.Add(policy.BaseTime)
	for range policy.Probes {
		assert.Assert(t, ejector.Probe("slow", time.Minute, now))
		serve("slow", 1)
	}
	assert.Equal(t, ejector.Health("slow", now), limit.Healthy)
}

func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := limit.DefaultEjectionPolicy()
		ejector := limit.NewEjector(policy)
		count := rapid.IntRange(1, 20).Draw(t, "engines")
		for range 100 {
			engine := fmt.Sprint(rapid.IntRange(0, count-1).Draw(t, "engine"))
			ejector.Observe(engine, limit.Outcome{Failed: rapid.IntRange(0, 3).Draw(t, "failed") > 0}, testTime)
		}
		out := 0
		for i := range count {
			if ejector.Health(fmt.Sprint(i), testTime) != limit.Healthy {
				out++
			}
		}
		allowed := int(policy.MaxFraction * float64(count))
		if count > 1 {
			allowed = max(allowed, 1)
		}
		assert.Assert(t, out <= allowed, "%d of %d are out", out, count)
	})
}

func TestProgramLimits(t *testing.T) {
	limits := limit.ProgramLimits{Idle: time.Minute, Turns: 50, Repeats: 5, Lifetime: time.Hour}
	at := func(ago time.Duration) time.Time { return testTime.Add(-ago) }
	cases := []struct {
		name     string
		activity limit.ProgramActivity
		want     limit.EndReason
	}{
		{"working", limit.ProgramActivity{Created: at(0), LastActive: at(0), Turns: 49, Repeats: 4}, limit.KeepProgram},
		{"hanging tool", limit.ProgramActivity{Created: at(2 * time.Minute), LastActive: at(time.Minute)}, limit.EndIdle},
		{"long call", limit.ProgramActivity{Created: at(2 * time.Minute), LastActive: at(time.Minute), Running: true}, limit.KeepProgram},
		{"long loop", limit.ProgramActivity{Created: at(0), LastActive: at(0), Turns: 50}, limit.EndTurns},
		{"tight loop", limit.ProgramActivity{Created: at(0), LastActive: at(0), Repeats: 5}, limit.EndRepeats},
		{"overstayed", limit.ProgramActivity{Created: at(time.Hour), LastActive: at(0)}, limit.EndOverstayed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, limits.Check(c.activity, testTime), c.want)
		})
	}
	none := limit.ProgramLimits{}
	assert.Equal(t, none.Check(limit.ProgramActivity{Turns: 1 << 30}, testTime), limit.KeepProgram)
}
