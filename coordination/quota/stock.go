package quota

import (
	"math"
	"slices"
	"time"
)

// stock holds the permits of one tenant that a gateway was granted ahead and has not
// used.
type stock struct {
	// expiries are the times at which the permits expire, in the order in which they
	// came.
	expiries []time.Time
	// demand is the moving average of requests a second, which decays with
	// demandTime; counted is when a request was last added to it.
	demand   float64
	demandAt time.Time
}

// demandTimeConstant is the time constant of the average demand of a tenant: a few times the
// life of a permit. Chosen, not measured.
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

// take takes the permit that expires first; found is false where none is left.
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
