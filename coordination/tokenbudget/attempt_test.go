package tokenbudget

import (
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/budget"
)

func TestNextStep(t *testing.T) {
	lost := merry.New("connection refused")
	crowded := merry.Wrap(ErrOverloaded, merry.AppendMessagef("32 changes of budgets are under way"))
	cases := []struct {
		name  string
		ended attempt
		slow  int
		want  step
	}{
		{"granted", attempt{}, 0, decided{}},
		{"budget spent", attempt{err: budget.ErrSpent}, 0, decided{budget.ErrSpent}},
		{"reserved elsewhere", attempt{err: budget.ErrReserved}, 1, tryReserveHolder{budget.ErrReserved}},
		{"reserved elsewhere after two slow hosts", attempt{err: budget.ErrReserved}, maxSlowAttempts, decided{budget.ErrReserved}},
		{"reserved elsewhere, the caller left", attempt{err: budget.ErrReserved, callerGone: true}, 0, decided{budget.ErrReserved}},
		{"granted though the caller left", attempt{callerGone: true}, 0, decided{}},
		{"overloaded", attempt{err: crowded}, 0, hostOverloaded{crowded}},
		{"overloaded after two slow hosts", attempt{err: crowded}, maxSlowAttempts, hostOverloaded{crowded}},
		{"lost", attempt{err: lost}, 0, tryNextHost{}},
		{"first slow host", attempt{err: lost, duration: attemptTimeout}, 1, tryNextHost{}},
		{"second slow host", attempt{err: lost, duration: attemptTimeout}, maxSlowAttempts, giveUp{}},
		{"caller left", attempt{err: lost, callerGone: true}, 0, giveUp{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, nextStep(c.ended, c.slow), c.want)
		})
	}
	assert.Assert(t, !attempt{duration: slowAttemptThreshold - time.Millisecond}.isSlow())
	assert.Assert(t, attempt{duration: slowAttemptThreshold}.isSlow())
}
