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

// TestReservedTokensAreNotReportedSpent guards against ending a program while another host
// may still release tokens of its budget, however long that takes.
func TestReservedTokensAreNotReportedSpent(t *testing.T) {
	shared := newSharedRegister()
	now := time.Now()
	clock := func() time.Time { return now }
	ledger := newLedger("a", shared)
	first, second := tokenbudget.NewHost(ledger, clock), tokenbudget.NewHost(newLedger("b", shared), clock)
	reservation := newReservation("t1")
	reservation.ProgramLimit = 100
	assert.NilError(t, first.Reserve(t.Context(), reservation))
	reservation.Name = "t2"
	for _, passed := range []time.Duration{0, 1600 * time.Millisecond, time.Minute} {
		now = now.Add(passed)
		assert.ErrorIs(t, second.Reserve(t.Context(), reservation), budget.ErrReserved)
	}
	first.End([]tokenbudget.EndedTurn{{Program: "p", Reservation: "t1"}})
	ledger.Flush(t.Context())
	assert.NilError(t, second.Reserve(t.Context(), reservation))
}

// TestReserveHolderIsAsked guards against a refusal while a recovered host, which is asked
// last, still holds a reserve.
func TestReserveHolderIsAsked(t *testing.T) {
	transport, views := newNetwork(newSharedRegister(), 3)
	client := newClient(transport, views)
	turns := 0
	runTurn := func() {
		assert.NilError(t, client.Reserve(t.Context(), newReservation(fmt.Sprint("t", turns))), "turn %d", turns)
		client.End(tokenbudget.EndedTurn{Program: "p", Reservation: fmt.Sprint("t", turns), TokensUsed: 100})
		client.Flush(t.Context())
		turns++
	}
	runTurn()
	primary := transport.asked[0]
	transport.down[primary] = true
	runTurn()
	transport.down[primary] = false
	for turns < 10 {
		runTurn()
	}
	assert.ErrorIs(t, client.Reserve(t.Context(), newReservation("excess")), budget.ErrExhausted)
}

// TestReserveOfFailedHostIsNotSpent: the reserve of a host that doesn't answer may be released
// later, so the budget isn't reported as spent. Each host is asked once.
func TestReserveOfFailedHostIsNotSpent(t *testing.T) {
	transport, views := newNetwork(newSharedRegister(), 3)
	client := newClient(transport, views)
	reservation := newReservation("t1")
	reservation.ProgramLimit = 100
	assert.NilError(t, client.Reserve(t.Context(), reservation))
	transport.down[transport.asked[0]] = true
	reservation.Name = "t2"
	before := transport.reservationCount()
	assert.ErrorIs(t, client.Reserve(t.Context(), reservation), budget.ErrReserved)
	assert.Equal(t, transport.reservationCount(), before+3)
}

// TestReserveOfEarlierIncarnationIsSpent: a restarted host knows that its earlier incarnation
// won't release its reserve, and reports the budget as spent.
func TestReserveOfEarlierIncarnationIsSpent(t *testing.T) {
	shared := newSharedRegister()
	reservation := newReservation("t1")
	reservation.ProgramLimit = 100
	assert.NilError(t, newLedger("rack/a/1", shared).Reserve(t.Context(), reservation))
	for _, other := range []string{"a/2", "rack/b/1", "rack/a/1/x", "1"} {
		assert.ErrorIs(t, newLedger(other, shared).Reserve(t.Context(), reservation), budget.ErrReserved, other)
	}
	assert.ErrorIs(t, newLedger("rack/a/2", shared).Reserve(t.Context(), reservation), budget.ErrExhausted)
	assert.Equal(t, shared.committed(t, "p"), uint64(100))
}

// TestRestartedHostReportsSpentBudget: only the restarted host can tell that the reserve of its
// earlier incarnation is spent, so it must be asked even if it comes last.
func TestRestartedHostReportsSpentBudget(t *testing.T) {
	shared := newSharedRegister()
	transport, views := newNetwork(shared, 3)
	reservation := newReservation("t1")
	reservation.ProgramLimit = 100
	tracker := reach.New(time.Now)
	client := tokenbudget.NewClient(transport, views, tracker, time.Now, zap.NewNop())
	name := func(address string, incarnation int) string { return fmt.Sprint(address, "/", incarnation) }
	for address := range transport.hosts {
		transport.hosts[address] = tokenbudget.NewHost(newLedger(name(address, 1), shared), time.Now)
	}
	assert.NilError(t, client.Reserve(t.Context(), reservation))
	primary := transport.asked[0]
	transport.hosts[primary] = tokenbudget.NewHost(newLedger(name(primary, 2), shared), time.Now)
	tracker.RecordFailure(primary)
	reservation.Name = "t2"
	assert.ErrorIs(t, client.Reserve(t.Context(), reservation), budget.ErrExhausted)
	assert.Equal(t, transport.asked[len(transport.asked)-1], primary)
}

// TestReserveOfRemovedNodeIsSpent guards against programs that are refused for good since a
// node that was removed from their replica set holds the rest of their budgets.
func TestReserveOfRemovedNodeIsSpent(t *testing.T) {
	shared := newSharedRegister()
	clock := newTestClock()
	members := map[string]bool{"a": true, "b": true}
	ledger := newLedgerOfMembers("b/1", shared, clock.now, members)
	reservation := newReservation("t1")
	removed := newLedger("a/1", shared)
	assert.NilError(t, removed.Reserve(t.Context(), reservation))
	held := shared.committed(t, "p")
	reservation.ProgramLimit = held
	isRefused := func(reason error) {
		t.Helper()
		assert.ErrorIs(t, ledger.Reserve(t.Context(), reservation), reason)
		clock.advance(time.Hour)
	}
	isRefused(budget.ErrReserved)
	isRefused(budget.ErrReserved)
	delete(members, "a")
	isRefused(budget.ErrReserved) // it may run and release its reserve
	isRefused(budget.ErrExhausted)
	assert.Equal(t, shared.committed(t, "p"), held)
	// What the removed node does later can't free what it may have handed out.
	removed.End("p", reservation.MaxTokens, 0)
	removed.Flush(t.Context())
	assert.Equal(t, shared.committed(t, "p"), held)
}
