package limit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/limit"
)

// processor simulates an overloaded processor that divides its time equally between the
// operations in flight.
type processor struct {
	now      time.Time
	adaptive *limit.AdaptiveLimit
	// inFlight holds the admitted operations that haven't ended.
	inFlight  []operation
	completed int
	timedOut  int
	rejected  int
}

type operation struct {
	remaining time.Duration
	deadline  time.Time
}

const (
	tickLength       = time.Millisecond
	workPerOperation = 4 * time.Millisecond
	operationTimeout = 350 * time.Millisecond
)

func (s *processor) offer() {
	if !s.adaptive.TryAcquire() {
		s.rejected++
		return
	}
	s.inFlight = append(s.inFlight, operation{remaining: workPerOperation, deadline: s.now.Add(operationTimeout)})
}

func (s *processor) tick() {
	s.now = s.now.Add(tickLength)
	share := tickLength
	if len(s.inFlight) > 0 {
		share = tickLength / time.Duration(len(s.inFlight))
	}
	var rest []operation
	for _, o := range s.inFlight {
		o.remaining -= share
		switch {
		case o.remaining <= 0:
			s.completed++
			s.adaptive.Release(false)
		case s.now.After(o.deadline):
			s.timedOut++
			s.adaptive.Release(true)
		default:
			rest = append(rest, o)
		}
	}
	s.inFlight = rest
}

// run simulates the ticks with the offered number of new operations in each.
func (s *processor) run(ticks int, offered float64) {
	due := 0.0
	for range ticks {
		for due += offered; due >= 1; due-- {
			s.offer()
		}
		s.tick()
	}
}

// TestAdaptiveLimitKeepsGoodputUnderOverload guards against a loss of goodput at four times the
// capacity, and against rejections once the overload is over.
func TestAdaptiveLimitKeepsGoodputUnderOverload(t *testing.T) {
	s := &processor{now: time.Unix(1_000_000, 0)}
	s.adaptive = limit.NewAdaptiveLimit(limit.DefaultAdaptivePolicy(), func() time.Time { return s.now })
	s.run(20_000, 1)
	assert.Assert(t, s.completed >= 4000, "%d of 5000 possible operations completed, %d timed out, %d were rejected", s.completed, s.timedOut, s.rejected)
	s.run(1000, 0)
	s.completed, s.timedOut, s.rejected = 0, 0, 0
	s.run(10_000, 0.2)
	assert.Equal(t, s.timedOut+s.rejected, 0, "%d timed out, %d were rejected at 80%% of the capacity", s.timedOut, s.rejected)
}

// TestLimitIsBounded checks that the limit stays between Min and Max.
func TestLimitIsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	adaptive := limit.NewAdaptiveLimit(limit.DefaultAdaptivePolicy(), func() time.Time { return now })
	for range 100 {
		now = now.Add(time.Second)
		assert.Assert(t, adaptive.TryAcquire())
		adaptive.Release(true)
	}
	assert.Equal(t, adaptive.Limit(), 4)
	for range 1000 {
		begun := 0
		for adaptive.TryAcquire() {
			begun++
		}
		assert.Assert(t, begun <= 256)
		for range begun {
			adaptive.Release(false)
		}
	}
	assert.Equal(t, adaptive.Limit(), 256)
}
