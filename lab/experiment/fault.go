package experiment

// Fault is what goes wrong in a trial.
type Fault string

// Faults of a trial. Each begins at two fifths of its duration.
const (
	NoFault Fault = "steady"
	// EngineLost takes the fastest engine away. It comes back, with an empty
	// memory, at seven tenths.
	EngineLost Fault = "engine-lost"
	// SlowEngine divides the speed of the second-fastest engine by six until
	// seven tenths.
	SlowEngine Fault = "slow-engine"
	// ZoneCut cuts the first zone off from the others for a tenth.
	ZoneCut Fault = "zone-cut"
)

// slowFactor is by how much SlowEngine slows its engine.
const slowFactor = 6

func (f Fault) known() bool {
	return f == EngineLost || f == SlowEngine || f == ZoneCut
}

func (f Fault) plan(s *simulation, t *trial) {
	begin := t.duration * 4 / 10
	end := t.duration * 7 / 10
	switch f {
	case EngineLost:
		lost := s.fastest(0)
		s.schedule.at(begin, func() { s.loseEngine(lost) })
		s.schedule.at(end, lost.start)
	case SlowEngine:
		slow := s.fastest(1)
		s.schedule.at(begin, func() { s.slowDown(slow, slowFactor) })
		s.schedule.at(end, func() { s.slowDown(slow, 1) })
	case ZoneCut:
		s.schedule.at(begin, func() { s.cut(s.deployment.Zones[0]) })
		s.schedule.at(begin+t.duration/10, func() { s.heal() })
	}
}

// fastest returns the engine of a rank by prefill speed, the fastest being 0.
func (s *simulation) fastest(rank int) *simEngine {
	order := append([]*simEngine(nil), s.engines...)
	for i := range rank + 1 {
		for j := i + 1; j < len(order); j++ {
			if order[j].spec.Generation.PrefillRate > order[i].spec.Generation.PrefillRate {
				order[i], order[j] = order[j], order[i]
			}
		}
	}
	return order[rank]
}

func (s *simulation) loseEngine(e *simEngine) {
	for _, a := range e.lose() {
		s.schedule.after(s.deployment.delay(e.spec.Zone, a.node.zone), func() { s.fail(a) })
	}
}

func (s *simulation) slowDown(e *simEngine, factor float64) {
	e.core.SetSlowdown(s.schedule.now, factor)
	e.touch()
}

// cut separates a zone from the others. What is under way across the cut, and
// at the nodes of the cut zone, fails once that is noticed.
func (s *simulation) cut(zone string) {
	s.cutZone = zone
	var crossing []*attempt
	for _, e := range s.engines {
		for _, a := range sortedAttempts(e.attempts) {
			if a.node.zone == zone || e.spec.Zone == zone {
				crossing = append(crossing, a)
			}
		}
	}
	s.schedule.after(detectTime, func() {
		s.failedOver = true
		for _, a := range crossing {
			if a.node.zone == zone || s.cutOff(a.node.zone, a.engine.spec.Zone) {
				s.fail(a)
			}
		}
	})
}

func (s *simulation) heal() {
	s.cutZone = ""
	s.failedOver = false
}
