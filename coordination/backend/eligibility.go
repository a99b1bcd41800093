package backend

import (
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// probeTimeout is how long an unfinished probe keeps other requests from an instance.
const probeTimeout = 3 * time.Second

// eligibility ranks how freely an instance may be used for a request.
type eligibility int

const (
	// ineligible instances get no requests.
	ineligible eligibility = iota
	// lastResort instances get requests only if no better instance is left.
	lastResort
	// probed instances get one request at a time.
	probed
	// eligible instances get requests without restriction.
	eligible
)

// eligibilityInput is the state that an instance's eligibility depends on.
type eligibilityInput struct {
	// otherVersion is set if the request needs another software version.
	otherVersion bool
	// isLeaving is set if the instance has announced that it leaves.
	isLeaving bool
	// wasTried is set if the request was sent to the instance before.
	wasTried bool
	// addressLost is set if another instance was found at its address.
	addressLost bool
	// health is the health of the instance, relative to the others of its service.
	health limit.EngineHealth
}

// eligibilityOf decides whether an instance may be used. One that lost its address or is
// ejected would probably fail the request, which is still better than not sending it.
func eligibilityOf(input eligibilityInput) eligibility {
	switch {
	case input.isLeaving || input.wasTried || input.otherVersion:
		return ineligible
	case input.addressLost || input.health == limit.Ejected:
		return lastResort
	case input.health == limit.Probing:
		return probed
	}
	return eligible
}

// claimProbe claims the probe of the instance and reports whether it succeeded.
func (s *service) claimProbe(id string, now time.Time) bool {
	return s.health.ejector.ClaimProbe(id, probeTimeout, now)
}

// candidates returns the instances that may get the request. An instance that is due for
// a probe gets it regardless of the others, since it could never return otherwise.
func (s *service) candidates(query Query, now time.Time, claimProbe func(id string, now time.Time) bool) []candidate {
	key := hashString(query.Key)
	healthy := make([]candidate, 0, len(s.members))
	var fallback []candidate
	for _, m := range s.members {
		switch s.eligibility(m, query, now) {
		case eligible:
			healthy = append(healthy, m.candidate(key))
		case probed:
			if claimProbe(m.ID, now) {
				return []candidate{m.candidate(key)}
			}
			fallback = append(fallback, m.candidate(key))
		case lastResort:
			fallback = append(fallback, m.candidate(key))
		case ineligible:
		}
	}
	if len(healthy) == 0 {
		return fallback
	}
	return healthy
}

// eligibility returns whether the instance may be used for the request.
func (s *service) eligibility(m *member, query Query, now time.Time) eligibility {
	return eligibilityOf(eligibilityInput{
		otherVersion: query.Version != nil && m.Version != *query.Version,
		isLeaving:    m.Leaving,
		wasTried:     slices.Contains(query.Tried, m.ID),
		addressLost:  m.load.addressLost.Load(),
		health:       s.health.ejector.Health(m.ID, now),
	})
}
