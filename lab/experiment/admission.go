package experiment

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marblering/marblering/coordination/limit"
)

// admissionTries is how often a call asks admission points before it is sent
// where it was admitted last.
const admissionTries = 3

// reservationLifetime ends the reservations of nodes that are gone.
const reservationLifetime = 2 * time.Minute

// admitter is a policy whose calls ask for room at an engine's admission point
// before they are sent.
type admitter interface {
	policy
	// reservation is what to ask for; the engine is where most is computed.
	reservation(s *simulation, c *call, chosen *choice) (engine int, reservation limit.Reservation)
	// admitted takes in the answer and says whether the call is to be decided
	// on again.
	admitted(s *simulation, n *simNode, c *call, engine int, verdict limit.Verdict) bool
}

// admit asks the admission point of a chosen engine: one round trip, unless the
// point can't be reached, in which case the call goes on without.
func (s *simulation) admit(p admitter, c *call, n *simNode, chosen choice) {
	index, reservation := p.reservation(s, c, &chosen)
	point := s.admissionZone(index)
	if s.cutOff(n.zone, point) {
		s.send(c, n, chosen)
		return
	}
	delay := s.deployment.delay(n.zone, point)
	s.schedule.after(delay, func() {
		verdict := s.admission.Reserve(reservation, s.wall(s.schedule.now))
		s.schedule.after(delay, func() { s.admissionAnswered(p, c, n, chosen, reservation, verdict) })
	})
}

func (s *simulation) admissionAnswered(p admitter, c *call, n *simNode, chosen choice, reservation limit.Reservation, verdict limit.Verdict) {
	if c.done {
		s.admission.Release(reservation.Engine, reservation.RequestID)
		return
	}
	c.asked++
	index := s.engineIndex(reservation.Engine)
	if p.admitted(s, n, c, index, verdict) && c.asked < admissionTries {
		s.admission.Release(reservation.Engine, reservation.RequestID)
		s.decide(c)
		return
	}
	c.asked = 0
	chosen.reserved = reservation.RequestID
	chosen.reservedAt = reservation.Engine
	s.send(c, n, chosen)
}

// admissionZone is the zone of the node that is an engine's admission point.
func (s *simulation) admissionZone(index int) string {
	hash := xxhash.Sum64String(s.engines[index].spec.Name)
	return s.nodes[hash%uint64(len(s.nodes))].zone
}
