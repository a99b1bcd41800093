package quota

import (
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// PermitRequest is a gateway's request for permits.
type PermitRequest struct {
	Tenant string
	// Version is the configuration version that Share was computed from.
	Version int64
	Share   Share
	// Program is the program that the request belongs to, empty for none. Kind groups
	// programs with similar demand.
	Program string
	Kind    string
	// Prefetch is the number of additional permits wanted for future requests.
	Prefetch int
}

// PermitAnswer is the answer to a PermitRequest: one of the types below.
type PermitAnswer interface{ isGrant() }

// Granted carries permits, one of them for the request itself.
type Granted struct {
	Permits int
}

// Exhausted means that the tenant has used up its share of the quota at this slot.
type Exhausted struct {
	// RetryAfter is the time until the next permit is available, Remaining the number of
	// permits in the bucket, less than one.
	RetryAfter time.Duration
	Remaining  float64
}

// Reserved means that the remaining permits are reserved for programs already running.
type Reserved struct {
	RetryAfter time.Duration
	Remaining  float64
}

// NotHolder means that the node doesn't hold the slot.
type NotHolder struct{}

func (Granted) isGrant()   {}
func (Exhausted) isGrant() {}
func (Reserved) isGrant()  {}
func (NotHolder) isGrant() {}

const (
	// headroomFraction is the fraction of the burst that must be available before
	// permits are prefetched, or a new program is admitted regardless of its expected
	// demand.
	headroomFraction = 0.5
	// newProgramRetryAfter is the Retry-After of a refused new program: roughly the time
	// in which running programs finish.
	newProgramRetryAfter = 500 * time.Millisecond
	// minRetryAfter keeps refused requests from retrying in a tight loop.
	minRetryAfter = 50 * time.Millisecond
)

// account is a tenant's share of its quota at one slot, during one term of the slot's
// holder.
type account struct {
	version  int64
	rate     limit.Rate
	bucket   limit.Bucket
	programs *programTracker
}

// newAccount returns an account whose bucket was empty when the term began.
func newAccount(rate limit.Rate, began time.Time) *account {
	return &account{rate: rate, bucket: limit.NewBucket(rate.TokensPerSecond, rate.Burst, began), programs: newProgramTracker()}
}

// take decides on a request for permits:
//
//   - A new program is refused (Reserved) unless half of the burst is available, or the
//     rate is expected to sustain it to its end along with the running programs. A
//     program that is cut off midway has wasted its permits: at four times the rate 45
//     programs finish, and 8 if requests are refused at random.
//   - Any request is refused (Exhausted) if the bucket has no permit.
//   - Permits are prefetched only from what exceeds half of the burst.
func (a *account) take(ask PermitRequest, now time.Time) PermitAnswer {
	if ask.Version > a.version {
		a.version, a.rate = ask.Version, ask.Share.Rate
		a.bucket.SetRate(a.rate.TokensPerSecond, a.rate.Burst, now)
	}
	a.programs.sweep(now)
	level := a.bucket.Level(now)
	headroom := headroomFraction * a.rate.Burst
	isNew := ask.Program != "" && !a.programs.has(ask.Program)
	if isNew && level < headroom && !a.programs.canAdmit(ask.Kind, a.rate, level, now) {
		return Reserved{RetryAfter: newProgramRetryAfter, Remaining: level}
	}
	if !a.bucket.Take(1, now) {
		a.programs.recordRefused(ask.Program)
		return Exhausted{RetryAfter: max(a.bucket.Wait(1, now), minRetryAfter), Remaining: level}
	}
	if ask.Program != "" {
		a.programs.recordAdmitted(ask.Program, ask.Kind, now)
	}
	ahead := int(min(float64(ask.Prefetch), level-1-headroom))
	if ahead < 1 {
		return Granted{Permits: 1}
	}
	return Granted{Permits: 1 + int(a.bucket.TakeUpTo(float64(ahead), now))}
}
