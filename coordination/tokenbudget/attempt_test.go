package tokenbudget

import (
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/budget"
)

func TestNextHost(t *testing.T) {
	lost := merry.New("connection refused")
	crowded := merry.Wrap(ErrOverloaded, merry.AppendMessagef("32 changes of budgets are under way"))
	cases := []struct {
		name  string
		ended attempt
		slow  int
		want  step
	}{
		{"granted", attempt{}, 0, settled{}},
		{"budget spent", attempt{err: budget.ErrSpent}, 0, settled{budget.ErrSpent}},
		{"reserved elsewhere", attempt{err: budget.ErrReserved}, 1, askHolder{budget.ErrReserved}},
		{"reserved elsewhere after two slow hosts", attempt{err: budget.ErrReserved}, slowTries, settled{budget.ErrReserved}},
		{"reserved elsewhere, the caller left", attempt{err: budget.ErrReserved, givenUp: true}, 0, settled{budget.ErrReserved}},
		{"granted though the caller left", attempt{givenUp: true}, 0, settled{}},
		{"overloaded", attempt{err: crowded}, 0, refusedByHost{crowded}},
		{"overloaded after two slow hosts", attempt{err: crowded}, slowTries, refusedByHost{crowded}},
		{"lost", attempt{err: lost}, 0, askNext{}},
		{"first slow host", attempt{err: lost, took: tryTimeout}, 1, askNext{}},
		{"second slow host", attempt{err: lost, took: tryTimeout}, slowTries, unreachable{}},
		{"caller left", attempt{err: lost, givenUp: true}, 0, unreachable{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, next(c.ended, c.slow), c.want)
		})
	}
	assert.Assert(t, !attempt{took: slowAfter - time.Millisecond}.isSlow())
	assert.Assert(t, attempt{took: slowAfter}.isSlow())
}
