package backend

import (
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// probeTimeout is how long the single request of a probed instance may keep other
// requests away from it (chosen, not measured).
const probeTimeout = 3 * time.Second

// eligibility says what an instance may be used for.
type eligibility int

const (
	// ineligible instances get nothing.
	ineligible eligibility = iota
	// lastResort instances get requests only where there is nothing better.
	lastResort
	// probed instances get one request at a time.
	probed
	// eligible instances get requests.
	eligible
)

// eligibilityInput is what an instance's standing depends on.
type eligibilityInput struct {
	// isLeaving is set where the instance said that it wants nothing new.
	isLeaving bool
	// wasTried is set where the request was sent there before.
	wasTried bool
	// addressLost is set where another instance was found at its address.
	addressLost bool
	// health is how it has served compared with the others of its service.
	health limit.EngineHealth
}

// eligibilityOf decides what an instance may be used for. One that is leaving or was tried
// before is out of the question. One that lost its address or is ejected would probably
// fail the request, which is still better than none where nothing else is left.
func eligibilityOf(facts eligibilityInput) eligibility {
	switch {
	case facts.isLeaving || facts.wasTried:
		return ineligible
	case facts.addressLost || facts.health == limit.Ejected:
		return lastResort
	case facts.health == limit.Probed:
		return probed
	}
	return eligible
}

// candidates returns the instances that the request may be sent to. An instance that may
// be probed gets the request, whatever the others are like: otherwise it would never
// show that it serves again.
func (s *service) candidates(query Query, now time.Time) []candidate {
	key := hashString(query.Key)
	good := make([]candidate, 0, len(s.members))
	var poor []candidate
	for _, m := range s.members {
		switch s.eligibility(m, query.Tried, now) {
		case eligible:
			good = append(good, m.candidate(key))
		case probed:
			if s.health.ejector.Probe(m.ID, probeTimeout, now) {
				return []candidate{m.candidate(key)}
			}
			poor = append(poor, m.candidate(key))
		case lastResort:
			poor = append(poor, m.candidate(key))
		case ineligible:
		}
	}
	if len(good) == 0 {
		return poor
	}
	return good
}

// eligibility gathers what the eligibility of the instance depends on.
func (s *service) eligibility(m *member, tried []string, now time.Time) eligibility {
	return eligibilityOf(eligibilityInput{
		isLeaving:   m.Leaving,
		wasTried:    slices.Contains(tried, m.ID),
		addressLost: m.load.addressLost.Load(),
		health:      s.health.ejector.Health(m.ID, now),
	})
}
