package quota

import (
	"math"
	"slices"
	"time"
)

// stock holds the unused permits of one tenant at a gateway, prefetched or returned.
type stock struct {
	// expiries are the expiry times of the permits, in the order in which they arrived.
	expiries []time.Time
	// demand is a moving average of requests per second that decays with
	// demandTimeConstant; demandAt is when a request was last added to it.
	demand   float64
	demandAt time.Time
}

// demandTimeConstant is the time constant of a tenant's average demand: several permit
// lifetimes.
const demandTimeConstant = time.Second

// recordDemand adds a request to the average.
func (s *stock) recordDemand(now time.Time) {
	elapsed := now.Sub(s.demandAt).Seconds()
	s.demand = s.demand*math.Exp(-elapsed/demandTimeConstant.Seconds()) + 1/demandTimeConstant.Seconds()
	s.demandAt = now
}

func (s *stock) add(permits int, expires time.Time) {
	for range permits {
		s.expiries = append(s.expiries, expires)
	}
}

// take removes the permit that expires first. found is false if there is none.
func (s *stock) take(now time.Time) (expires time.Time, found bool) {
	s.expiries = slices.DeleteFunc(s.expiries, func(expiry time.Time) bool { return !now.Before(expiry) })
	if len(s.expiries) == 0 {
		return time.Time{}, false
	}
	first := slices.MinFunc(s.expiries, time.Time.Compare)
	index := slices.Index(s.expiries, first)
	s.expiries = slices.Delete(s.expiries, index, index+1)
	return first, true
}
