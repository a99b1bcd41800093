package quota

import (
	"hash/fnv"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// Bounds say how exactly quotas must hold.
type Bounds struct {
	// Window is the span over which requests are counted.
	Window time.Duration
	// Over is the fraction of its quota by which a tenant may exceed it in a window,
	// Slack a number of requests beyond that.
	Over  float64
	Slack int
}

const (
	// maxPermitLifetime bounds the life of permits where Over is large: permits that
	// expire unused are lost to the tenant. Chosen, not measured.
	maxPermitLifetime = time.Second
	// reserveBurstFraction and reserveRate are the parts of Slack that a reserve slot grants
	// at once, and more in each window. Chosen, not measured.
	reserveBurstFraction = 0.4
	reserveRateFraction  = 0.3
	// maxSpreadFraction is the part of the burst that main slots grant as a higher rate over
	// the window instead of at once. A burst that is large beside the rate is spread
	// less, since its tenant may mean to send all of it at once; so is the burst of a
	// small tenant, as far as leastBurst needs. Chosen, not measured.
	maxSpreadFraction = 0.8
	// minBurst is what may still be used at once, in requests: tools and helpers of a
	// few programs send that many together. Chosen, not measured.
	minBurst = 20.0
	// ratePerMainSlot is the rate in requests a second for each main slot of a tenant:
	// with several, a lost holder takes only a part of the quota. A tenant with a lower
	// rate keeps one slot, since a program sends about 25 requests within a few
	// seconds. Chosen, not measured.
	ratePerMainSlot = 50
	// maxMainSlots bounds the main slots of a tenant. Chosen, not measured.
	maxMainSlots = 4
)

// PermitLifetime is how long a permit may be used, counted from when it was asked for.
func (b Bounds) PermitLifetime() time.Duration {
	return min(time.Duration(b.Over*float64(b.Window)), maxPermitLifetime)
}

// Part is what one slot may grant of a tenant's quota.
type Part struct {
	Slot uint32
	Rate limit.Rate
}

// Plan is how a tenant's quota is divided among slots.
type Plan struct {
	// Main are the slots that the quota is divided among.
	Main []Part
	// Reserve is asked while a main slot has no holder. HasReserve is false where
	// there is no slot left for it.
	Reserve    Part
	HasReserve bool
}

// Plan divides the rate of the tenant among the slots. All nodes that know the same
// rate and number of slots divide it alike.
func (b Bounds) Plan(tenant string, rate limit.Rate, slots uint32) Plan {
	if slots == 0 {
		return Plan{}
	}
	wanted := uint32(max(rate.TokensPerSecond/ratePerMainSlot, 1))
	count := min(wanted, maxMainSlots, slots)
	first := hashOf(tenant) % slots
	whole := b.mainBucket(rate)
	plan := Plan{HasReserve: slots > count}
	for index := range count {
		plan.Main = append(plan.Main, Part{
			Slot: (first + index) % slots,
			Rate: limit.Rate{TokensPerSecond: whole.TokensPerSecond / float64(count), Burst: whole.Burst / float64(count)},
		})
	}
	plan.Reserve = Part{Slot: (first + count) % slots, Rate: limit.Rate{
		TokensPerSecond: reserveRateFraction * float64(b.Slack) / b.Window.Seconds(), Burst: reserveBurstFraction * float64(b.Slack),
	}}
	return plan
}

// mainBucket returns the rate and burst of the token bucket that all main slots form
// together. A tenant may use as much within a window as with its own rate and burst,
// but a tenant that always sends more than it may gets this in every window, rather
// than its rate alone.
func (b Bounds) mainBucket(rate limit.Rate) limit.Rate {
	window := b.Window.Seconds()
	if rate.Burst <= 0 {
		return limit.Rate{TokensPerSecond: rate.TokensPerSecond, Burst: b.unreservedSlack()}
	}
	spread := maxSpreadFraction * min(1, rate.TokensPerSecond*window/(4*rate.Burst))
	spread = max(min(spread, 1-(minBurst-b.unreservedSlack())/(rate.Burst*(1+b.Over))), 0)
	return limit.Rate{
		TokensPerSecond: rate.TokensPerSecond + spread*rate.Burst/window,
		Burst:           rate.Burst*(1+b.Over)*(1-spread) + b.unreservedSlack(),
	}
}

// unreservedSlack is the part of the slack, in requests, that a reserve slot leaves.
func (b Bounds) unreservedSlack() float64 {
	return float64(b.Slack) * (1 - reserveBurstFraction - reserveRateFraction*(1+b.Over))
}

// Order returns the main parts in the order in which requests of the program ask them.
// All requests of a program ask the same slot first, whose holder so knows the program.
func (p Plan) Order(program string) []Part {
	if len(p.Main) < 2 {
		return p.Main
	}
	first := int(hashOf(program) % uint32(len(p.Main)))
	return append(append([]Part(nil), p.Main[first:]...), p.Main[:first]...)
}

func hashOf(text string) uint32 {
	hash := fnv.New32a()
	// A hash takes every write.
	_, _ = hash.Write([]byte(text))
	return hash.Sum32()
}
