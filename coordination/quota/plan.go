package quota

import (
	"hash/fnv"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// Tolerance limit by how much a tenant may exceed its quota.
type Tolerance struct {
	// Window is the time span over which requests are counted.
	Window time.Duration
	// Fraction is the fraction of its quota by which a tenant may exceed it in a window, Slack
	// an additional number of requests.
	Fraction float64
	Slack    int
}

const (
	// maxPermitLifetime bounds the lifetime of permits where Fraction is large. Permits that
	// expire unused are lost to the tenant.
	maxPermitLifetime = time.Second
	// reserveBurstFraction and reserveRateFraction are the fractions of Slack that a
	// reserve slot grants at once and, on top, in each window.
	reserveBurstFraction = 0.4
	reserveRateFraction  = 0.3
	// maxSpreadFraction is the largest fraction of the burst that main slots grant as a
	// higher rate over the window instead of at once. Less is spread of a burst that is
	// large compared to the rate, since its tenant may intend to send it at once, and of
	// a small burst, to leave minBurst.
	maxSpreadFraction = 0.8
	// minBurst is the number of requests that can still be made at once: a few programs
	// with tools and helpers send that many together.
	minBurst = 20.0
	// ratePerMainSlot is the tenant's rate, in requests a second, for each main slot. With
	// several slots a failed holder takes only a part of the quota away. A tenant with a
	// lower rate keeps one slot, since a program sends about 25 requests within seconds.
	ratePerMainSlot = 50
	maxMainSlots    = 4
)

// PermitLifetime is how long a permit may be used, counted from when it was requested.
func (b Tolerance) PermitLifetime() time.Duration {
	return min(time.Duration(b.Fraction*float64(b.Window)), maxPermitLifetime)
}

// Share is the share of a tenant's quota that one slot may grant.
type Share struct {
	Slot uint32
	Rate limit.Rate
}

// Plan is the division of a tenant's quota among slots.
type Plan struct {
	// Main are the slots among which the quota is divided.
	Main []Share
	// Reserve is asked while a main slot has no holder. HasReserve is false if no slot is
	// left for it.
	Reserve    Share
	HasReserve bool
}

// Plan divides the tenant's rate among the slots. All nodes that know the same rate and
// number of slots compute the same plan.
func (b Tolerance) Plan(tenant string, rate limit.Rate, slots uint32) Plan {
	if slots == 0 {
		return Plan{}
	}
	wanted := uint32(max(rate.TokensPerSecond/ratePerMainSlot, 1))
	count := min(wanted, maxMainSlots, slots)
	first := hashOf(tenant) % slots
	whole := b.mainBucket(rate)
	plan := Plan{HasReserve: slots > count}
	for index := range count {
		plan.Main = append(plan.Main, Share{
			Slot: (first + index) % slots,
			Rate: limit.Rate{TokensPerSecond: whole.TokensPerSecond / float64(count), Burst: whole.Burst / float64(count)},
		})
	}
	plan.Reserve = Share{Slot: (first + count) % slots, Rate: limit.Rate{
		TokensPerSecond: reserveRateFraction * float64(b.Slack) / b.Window.Seconds(), Burst: reserveBurstFraction * float64(b.Slack),
	}}
	return plan
}

// mainBucket returns the rate and burst of the token bucket that all main slots form
// together. Within a window a tenant may use as much as with its own rate and burst, but
// a tenant that is always over its rate may use this much in every window, instead of its
// rate alone.
func (b Tolerance) mainBucket(rate limit.Rate) limit.Rate {
	window := b.Window.Seconds()
	if rate.Burst <= 0 {
		return limit.Rate{TokensPerSecond: rate.TokensPerSecond, Burst: b.unreservedSlack()}
	}
	spread := maxSpreadFraction * min(1, rate.TokensPerSecond*window/(4*rate.Burst))
	spread = max(min(spread, 1-(minBurst-b.unreservedSlack())/(rate.Burst*(1+b.Fraction))), 0)
	return limit.Rate{
		TokensPerSecond: rate.TokensPerSecond + spread*rate.Burst/window,
		Burst:           rate.Burst*(1+b.Fraction)*(1-spread) + b.unreservedSlack(),
	}
}

// unreservedSlack is the part of Slack that the reserve slot doesn't grant, in requests.
func (b Tolerance) unreservedSlack() float64 {
	return float64(b.Slack) * (1 - reserveBurstFraction - reserveRateFraction*(1+b.Fraction))
}

// Order returns the main parts in the order in which requests of the program ask them.
// All requests of a program ask the same slot first, so that its holder tracks the program.
func (p Plan) Order(program string) []Share {
	if len(p.Main) < 2 {
		return p.Main
	}
	first := int(hashOf(program) % uint32(len(p.Main)))
	return append(append([]Share(nil), p.Main[first:]...), p.Main[:first]...)
}

func hashOf(text string) uint32 {
	hash := fnv.New32a()
	// Write of a hash.Hash never returns an error.
	_, _ = hash.Write([]byte(text))
	return hash.Sum32()
}
