package multicast_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/multicast"
	"github.com/marblering/marblering/coordination/reach"
)

// fixture is a round over the members a to d and the indexes of those that were asked.
type fixture struct {
	*multicast.Round
	tracker *reach.Tracker
	asked   []int
}

var addresses = []string{"a", "b", "c", "d"}

// newFixture returns a round whose budget allows the given number of hedges.
func newFixture(hedges float64) *fixture {
	now := func() time.Time { return time.Unix(1000, 0) }
	f := &fixture{tracker: reach.New(now)}
	// One kind of requests may use half of the burst.
	budget := limit.NewRetryBudget(limit.RetryPolicy{Burst: 2 * hedges, InitialRetries: hedges}, now())
	hedging := multicast.Hedging{BudgetKey: "test", Budget: budget, Tracker: f.tracker, Now: now}
	f.Round = multicast.New(addresses, hedging, func(index int) { f.asked = append(f.asked, index) })
	return f
}

// avoided returns the members that are to be asked last.
func (f *fixture) avoided() []string {
	var avoided []string
	for _, address := range addresses {
		if f.tracker.IsAvoided(address) {
			avoided = append(avoided, address)
		}
	}
	return avoided
}

// TestMembersAreAskedOnceInOrder includes requests for more members than are left.
func TestMembersAreAskedOnceInOrder(t *testing.T) {
	f := newFixture(1)
	f.Begin(2)
	f.Ask(0)
	assert.DeepEqual(t, f.asked, []int{0, 1})
	assert.Equal(t, f.Remaining(), 2)
	f.Ask(9)
	f.Ask(-1)
	assert.DeepEqual(t, f.asked, []int{0, 1, 2, 3})
	assert.Equal(t, f.Asked(), 4)
	assert.Equal(t, f.Remaining(), 0)
}

// TestHedgesAreBoundedByBudget checks that a rejected hedge asks no member and marks none as
// late.
func TestHedgesAreBoundedByBudget(t *testing.T) {
	f := newFixture(1)
	f.Begin(1)
	assert.Assert(t, f.Hedge())
	f.RecordAnswer(0)
	assert.Assert(t, !f.Hedge())
	assert.DeepEqual(t, f.asked, []int{0, 1})
	f.AvoidLate()
	assert.Equal(t, len(f.avoided()), 0)
}

// TestLateMembersAreAvoidedOnce checks that only members that hadn't answered at a hedge are
// late, until they answer or are avoided.
func TestLateMembersAreAvoidedOnce(t *testing.T) {
	f := newFixture(2)
	f.Begin(3)
	f.AvoidLate()
	assert.Equal(t, len(f.avoided()), 0, "no hedge was sent yet")
	f.RecordAnswer(0)
	assert.Assert(t, f.Hedge())
	f.RecordAnswer(1)
	f.AvoidLate()
	assert.DeepEqual(t, f.avoided(), []string{"c"})
	f.tracker.RecordResponse("c")
	f.AvoidLate()
	assert.Equal(t, len(f.avoided()), 0)
	assert.Assert(t, f.Hedge(), "a hedge without members left")
	assert.Equal(t, f.Remaining(), 0)
	f.AvoidLate()
	assert.DeepEqual(t, f.avoided(), []string{"c", "d"})
}

// TestPendingMembersAreAvoided checks that late members are avoided too.
func TestPendingMembersAreAvoided(t *testing.T) {
	f := newFixture(1)
	f.Begin(2)
	assert.Assert(t, f.Hedge())
	f.RecordAnswer(0)
	f.AvoidPending()
	assert.DeepEqual(t, f.avoided(), []string{"b", "c"})
}

func Example() {
	now := func() time.Time { return time.Unix(1000, 0) }
	hedging := multicast.Hedging{
		BudgetKey: "reads", Budget: limit.NewRetryBudget(limit.DefaultHedgePolicy(), now()), Tracker: reach.New(now), Now: now,
	}
	members := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	round := multicast.New(members, hedging, func(index int) { fmt.Println("ask", members[index]) })
	round.Begin(1)
	// The first member is late, so another one is asked, which answers.
	round.Hedge()
	round.RecordAnswer(1)
	round.AvoidLate()
	fmt.Println("asked last from now on:", hedging.Tracker.IsAvoided(members[0]))
	// Output:
	// ask 10.0.0.1:7000
	// ask 10.0.0.2:7000
	// asked last from now on: true
}
