package quota

import (
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// Ask is a gateway's request for permits.
type Ask struct {
	Tenant string
	// Version of the configuration that the part is of.
	Version int64
	Part    Part
	// Program is the one that the request belongs to, empty for none. Kind is what
	// programs with a like demand have in common.
	Program string
	Kind    string
	// Ahead is how many permits are wanted for requests to come.
	Ahead int
}

// Grant answers an Ask: one of the types below.
type Grant interface{ isGrant() }

// Granted are permits, one of them for the request.
type Granted struct {
	Permits int
}

// Exhausted says that the tenant has used its part of the quota.
type Exhausted struct {
	// RetryAfter is the time until there is a permit again, Left the fraction of a
	// permit that there is.
	RetryAfter time.Duration
	Left       float64
}

// Crowded says that what is left of the quota is kept for programs that have begun.
type Crowded struct {
	RetryAfter time.Duration
	Left       float64
}

// NotHolder says that the node doesn't hold the slot.
type NotHolder struct{}

func (Granted) isGrant()   {}
func (Exhausted) isGrant() {}
func (Crowded) isGrant()   {}
func (NotHolder) isGrant() {}

const (
	// plentyPart is the part of the burst that must be left for permits to be granted
	// ahead, and for new programs to be let in whatever they need. Chosen, not
	// measured.
	plentyPart = 0.5
	// crowdedPause is the Retry-After of a new program that is refused: about the time
	// in which programs that have begun end. Chosen, not measured.
	crowdedPause = 500 * time.Millisecond
	// leastPause is the shortest Retry-After. It keeps refused requests from coming
	// back in a tight loop. Chosen, not measured.
	leastPause = 50 * time.Millisecond
)

// account is one tenant's part of its quota at a slot, in one term of the slot's
// holder.
type account struct {
	version  int64
	rate     limit.Rate
	bucket   limit.Bucket
	programs *programs
}

// newAccount makes an account whose bucket was empty when the term began.
func newAccount(rate limit.Rate, began time.Time) *account {
	return &account{rate: rate, bucket: limit.NewBucket(rate.TokensPerSecond, rate.Burst, began), programs: newPrograms()}
}

// take decides on a request for permits:
//
//   - A new program is refused (Crowded) unless half of the burst is left or the rate
//     can carry it to its end beside those that have begun: a program that is cut off
//     in its middle has used its permits in vain. At four times the rate 45 programs
//     finish in place of 8 with refusals by lot (virtual time, the replay of
//     plan_test.go).
//   - Any request is refused (Exhausted) where the bucket has no permit.
//   - Permits ahead are granted only from what is left beyond half of the burst.
func (a *account) take(ask Ask, now time.Time) Grant {
	if ask.Version > a.version {
		a.version, a.rate = ask.Version, ask.Part.Rate
		a.bucket.SetRate(a.rate.TokensPerSecond, a.rate.Burst, now)
	}
	a.programs.sweep(now)
	level := a.bucket.Level(now)
	plenty := plentyPart * a.rate.Burst
	isNew := ask.Program != "" && !a.programs.has(ask.Program)
	if isNew && level < plenty && !a.programs.carries(ask.Kind, a.rate, level, now) {
		return Crowded{RetryAfter: crowdedPause, Left: level}
	}
	if !a.bucket.Take(1, now) {
		a.programs.refuse(ask.Program)
		return Exhausted{RetryAfter: max(a.bucket.Wait(1, now), leastPause), Left: level}
	}
	if ask.Program != "" {
		a.programs.count(ask.Program, ask.Kind, now)
	}
	ahead := int(min(float64(ask.Ahead), level-1-plenty))
	if ahead < 1 {
		return Granted{Permits: 1}
	}
	return Granted{Permits: 1 + int(a.bucket.TakeUpTo(float64(ahead), now))}
}
