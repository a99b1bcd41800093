package tokenbudget_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/state/budget"
)

// TestReservedTokensAreNotReportedSpent: the rest of a program's budget is reserved for a
// turn at another host. The host that was asked called it spent 1.5 s after its first
// refusal, whatever the other one did, and the program ended though the turn then
// generated nothing. In the log of such a run a turn was refused with "the rest of the
// program's budget is reserved elsewhere" from 45.734 to 47.223 s, and at 47.259 s with
// "the program's budget is spent", after 300 of 350 tokens.
func TestReservedTokensAreNotReportedSpent(t *testing.T) {
	shared := newSharedRegister()
	now := time.Now()
	clock := func() time.Time { return now }
	ledger := newLedger("a", shared)
	first, second := tokenbudget.NewHost(ledger, clock), tokenbudget.NewHost(newLedger("b", shared), clock)
	wanted := newReservation("t1")
	wanted.Limit = 100
	assert.NilError(t, first.Reserve(t.Context(), wanted))
	wanted.Name = "t2"
	for _, passed := range []time.Duration{0, 1600 * time.Millisecond, time.Minute} {
		now = now.Add(passed)
		assert.ErrorIs(t, second.Reserve(t.Context(), wanted), budget.ErrReserved)
	}
	first.End([]tokenbudget.Ended{{Program: "p", Reservation: "t1"}})
	ledger.Flush(t.Context())
	assert.NilError(t, second.Reserve(t.Context(), wanted))
}

// TestReserveHolderIsAsked: a program moves to another host, since its first one
// failed, and uses its budget up there but for what the first one reserves. That one is
// asked at once and lets the turns begin, though it is asked last.
func TestReserveHolderIsAsked(t *testing.T) {
	carried, view := newNetwork(newSharedRegister(), 3)
	client := newClient(carried, view)
	granted := 0
	serve := func() {
		assert.NilError(t, client.Reserve(t.Context(), newReservation(fmt.Sprint("t", granted))), "turn %d", granted)
		client.End(tokenbudget.Ended{Program: "p", Reservation: fmt.Sprint("t", granted), HandedOut: 100})
		client.Flush(t.Context())
		granted++
	}
	serve()
	home := carried.asked[0]
	carried.down[home] = true
	serve()
	carried.down[home] = false
	for granted < 10 {
		serve()
	}
	assert.ErrorIs(t, client.Reserve(t.Context(), newReservation("beyond")), budget.ErrSpent)
}

// TestReserveOfFailedHostIsNotSpent: what it reserves may come back, so that nobody may call it
// spent, and the others are asked once.
func TestReserveOfFailedHostIsNotSpent(t *testing.T) {
	carried, view := newNetwork(newSharedRegister(), 3)
	client := newClient(carried, view)
	wanted := newReservation("t1")
	wanted.Limit = 100
	assert.NilError(t, client.Reserve(t.Context(), wanted))
	carried.down[carried.asked[0]] = true
	wanted.Name = "t2"
	before := carried.reservationCount()
	assert.ErrorIs(t, client.Reserve(t.Context(), wanted), budget.ErrReserved)
	assert.Equal(t, carried.reservationCount(), before+3)
}

// TestReserveOfEarlierIncarnationIsSpent: a host that was started again knows that nobody gives
// back what it reserved before, and the program is told so at once.
func TestReserveOfEarlierIncarnationIsSpent(t *testing.T) {
	shared := newSharedRegister()
	wanted := newReservation("t1")
	wanted.Limit = 100
	assert.NilError(t, newLedger("rack/a/1", shared).Reserve(t.Context(), wanted))
	for _, other := range []string{"a/2", "rack/b/1", "rack/a/1/x", "1"} {
		assert.ErrorIs(t, newLedger(other, shared).Reserve(t.Context(), wanted), budget.ErrReserved, other)
	}
	assert.ErrorIs(t, newLedger("rack/a/2", shared).Reserve(t.Context(), wanted), budget.ErrSpent)
	assert.Equal(t, shared.committed(t, "p"), uint64(100))
}

// TestRestartedHostReportsSpentBudget: the host that was started again is the one that
// can tell, and is asked where another one can't.
func TestRestartedHostReportsSpentBudget(t *testing.T) {
	shared := newSharedRegister()
	carried, view := newNetwork(shared, 3)
	wanted := newReservation("t1")
	wanted.Limit = 100
	tracker := reach.New(time.Now)
	client := tokenbudget.NewClient(carried, view, tracker, time.Now, zap.NewNop())
	name := func(address string, life int) string { return fmt.Sprint(address, "/", life) }
	for address := range carried.hosts {
		carried.hosts[address] = tokenbudget.NewHost(newLedger(name(address, 1), shared), time.Now)
	}
	assert.NilError(t, client.Reserve(t.Context(), wanted))
	home := carried.asked[0]
	carried.hosts[home] = tokenbudget.NewHost(newLedger(name(home, 2), shared), time.Now)
	tracker.Failed(home)
	wanted.Name = "t2"
	assert.ErrorIs(t, client.Reserve(t.Context(), wanted), budget.ErrSpent)
	assert.Equal(t, carried.asked[len(carried.asked)-1], home)
}
