package tokenbudget

import (
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/budget"
)

func TestNextStep(t *testing.T) {
	unreachable := merry.New("connection refused")
	overloaded := merry.Wrap(ErrOverloaded, merry.AppendMessagef("the limit of 32 budget changes in progress is reached"))
	cases := []struct {
		name string
		last attempt
		slow int
		want step
	}{
		{"granted", attempt{}, 0, finish{}},
		{"budget spent", attempt{err: budget.ErrExhausted}, 0, finish{budget.ErrExhausted}},
		{"reserved elsewhere", attempt{err: budget.ErrReserved}, 1, tryReserveHolder{budget.ErrReserved}},
		{"reserved elsewhere after two slow hosts", attempt{err: budget.ErrReserved}, maxSlowAttempts, finish{budget.ErrReserved}},
		{"reserved elsewhere, the caller left", attempt{err: budget.ErrReserved, callerGone: true}, 0, finish{budget.ErrReserved}},
		{"granted though the caller left", attempt{callerGone: true}, 0, finish{}},
		{"overloaded", attempt{err: overloaded}, 0, hostOverloaded{overloaded}},
		{"overloaded after two slow hosts", attempt{err: overloaded}, maxSlowAttempts, hostOverloaded{overloaded}},
		{"unreachable", attempt{err: unreachable}, 0, tryNextHost{}},
		{"first slow host", attempt{err: unreachable, duration: attemptTimeout}, 1, tryNextHost{}},
		{"second slow host", attempt{err: unreachable, duration: attemptTimeout}, maxSlowAttempts, giveUp{}},
		{"caller left", attempt{err: unreachable, callerGone: true}, 0, giveUp{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, nextStep(c.last, c.slow), c.want)
		})
	}
	assert.Assert(t, !attempt{duration: slowAttemptThreshold - time.Millisecond}.isSlow())
	assert.Assert(t, attempt{duration: slowAttemptThreshold}.isSlow())
}
