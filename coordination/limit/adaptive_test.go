package limit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/limit"
)

// station works on everything under way in turn, as an overloaded processor
// does: with n operations under way each takes n times as long.
type station struct {
	now      time.Time
	adaptive *limit.Adaptive
	// underWay holds the work left of each operation and when it is given up.
	underWay []operation
	done     int
	late     int
	refused  int
}

type operation struct {
	left    time.Duration
	givenUp time.Time
}

const (
	step     = time.Millisecond
	workEach = 4 * time.Millisecond
	patience = 350 * time.Millisecond
)

func (s *station) offer() {
	if !s.adaptive.Begin() {
		s.refused++
		return
	}
	s.underWay = append(s.underWay, operation{left: workEach, givenUp: s.now.Add(patience)})
}

func (s *station) tick() {
	s.now = s.now.Add(step)
	share := step
	if len(s.underWay) > 0 {
		share = step / time.Duration(len(s.underWay))
	}
	var rest []operation
	for _, o := range s.underWay {
		o.left -= share
		switch {
		case o.left <= 0:
			s.done++
			s.adaptive.End(false)
		case s.now.After(o.givenUp):
			s.late++
			s.adaptive.End(true)
		default:
			rest = append(rest, o)
		}
	}
	s.underWay = rest
}

// run offers so many operations in each of the steps.
func (s *station) run(steps int, offered float64) {
	due := 0.0
	for range steps {
		for due += offered; due >= 1; due-- {
			s.offer()
		}
		s.tick()
	}
}

// TestOverloadFinishesWhatItBegins: at four times what can be done, most of what
// can be done is done in time, and with the load gone all is.
func TestOverloadFinishesWhatItBegins(t *testing.T) {
	s := &station{now: time.Unix(1_000_000, 0)}
	s.adaptive = limit.NewAdaptive(limit.DefaultAdaptivePolicy(), func() time.Time { return s.now })
	s.run(20_000, 1)
	assert.Assert(t, s.done >= 4000, "%d of 5000 possible were done, %d late, %d refused", s.done, s.late, s.refused)
	s.run(1000, 0)
	s.done, s.late, s.refused = 0, 0, 0
	s.run(10_000, 0.2)
	assert.Equal(t, s.late+s.refused, 0, "%d late, %d refused at four fifths of the load", s.late, s.refused)
}

// TestLimitIsBounded by its policy however operations end.
func TestLimitIsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	adaptive := limit.NewAdaptive(limit.DefaultAdaptivePolicy(), func() time.Time { return now })
	for range 100 {
		now = now.Add(time.Second)
		assert.Assert(t, adaptive.Begin())
		adaptive.End(true)
	}
	assert.Equal(t, adaptive.Limit(), 4)
	for range 1000 {
		began := 0
		for adaptive.Begin() {
			began++
		}
		assert.Assert(t, began <= 256)
		for range began {
			adaptive.End(false)
		}
	}
	assert.Equal(t, adaptive.Limit(), 256)
}
