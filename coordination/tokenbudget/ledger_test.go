package tokenbudget_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/state/budget"
	"github.com/marblering/marblering/test/harness"
)

var errAnswerLost = errors.New("the answer was lost")

// sharedRegister is a register that several ledgers change. It may lose answers or fail.
type sharedRegister struct {
	mutex   sync.Mutex
	values  map[string][]byte
	changes int
	// lose is the number of next changes that are made without an answer, fail the number of
	// those that aren't made.
	lose, fail int
}

func newSharedRegister() *sharedRegister { return &sharedRegister{values: make(map[string][]byte)} }

func (r *sharedRegister) Apply(_ context.Context, _ uint32, key string, change register.Change) ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.fail > 0 {
		r.fail--
		return nil, register.ErrNoQuorum
	}
	next, err := change(r.values[key])
	if err != nil {
		return nil, err
	}
	// A register may evaluate the change again on its own result.
	if next, err = change(next); err != nil {
		return nil, err
	}
	r.values[key] = next
	r.changes++
	if r.lose > 0 {
		r.lose--
		return nil, errAnswerLost
	}
	return next, nil
}

func (r *sharedRegister) committed(t *testing.T, program string) uint64 {
	t.Helper()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record, err := budget.Decode(program, r.values[program])
	assert.NilError(t, err)
	return budget.Committed(record)
}

func newLedger(holder string, shared *sharedRegister) *tokenbudget.Ledger {
	return newLedgerOver(holder, shared)
}

// newLedgerOver returns a ledger that releases reserves only when it is flushed.
// testClock is a clock that a test sets, and that timers of a ledger read.
type testClock struct {
	mutex sync.Mutex
	time  time.Time
}

func newTestClock() *testClock { return &testClock{time: time.Now()} }

func (c *testClock) now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.time
}

func (c *testClock) advance(duration time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.time = c.time.Add(duration)
}

// newLedgerOfMembers returns a ledger that knows which nodes are in the replica sets.
func newLedgerOfMembers(holder string, shared *sharedRegister, now func() time.Time, members map[string]bool) *tokenbudget.Ledger {
	settings := tokenbudget.DefaultSettings()
	settings.IsMember = func(_, node string) bool { return members[node] }
	return tokenbudget.NewLedger(holder, shared, func(string) uint32 { return 0 }, settings, now, zap.NewNop())
}

func newLedgerOver(holder string, registers tokenbudget.Register) *tokenbudget.Ledger {
	settings := tokenbudget.LedgerSettings{IdleTimeout: time.Hour, ReleaseTimeout: time.Second, ReleasePause: time.Millisecond, MaxReleaseAttempts: 50, AllChanges: limit.DefaultAdaptivePolicy(), LowPriorityChanges: limit.DefaultAdaptivePolicy()}
	return tokenbudget.NewLedger(holder, registers, func(string) uint32 { return 0 }, settings, time.Now, zap.NewNop())
}

func Example() {
	ledger := newLedger("host", newSharedRegister())
	ctx := context.Background()
	fmt.Println(ledger.Reserve(ctx, tokenbudget.Reservation{Program: "program", ProgramLimit: 100, MaxTokens: 60}))
	ledger.End("program", 60, 60)
	fmt.Println(ledger.Reserve(ctx, tokenbudget.Reservation{Program: "program", ProgramLimit: 100, MaxTokens: 60}))
	ledger.End("program", 60, 60)
	fmt.Println(ledger.Reserve(ctx, tokenbudget.Reservation{Program: "program", ProgramLimit: 100, MaxTokens: 60}))
	// Output:
	// <nil>
	// <nil>
	// the program's budget is spent
}

// TestLimitHoldsAcrossHosts: hosts never hand out more than the limit and one turn, though
// answers are lost, changes fail and hosts restart.
func TestLimitHoldsAcrossHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := newSharedRegister()
		limit := rapid.Uint64Range(1, 6000).Draw(t, "limit")
		most := rapid.Uint64Range(1, 600).Draw(t, "most")
		hosts := []*tokenbudget.Ledger{newLedger("a", shared), newLedger("b", shared)}
		running := make([]int, len(hosts))
		var handedOut uint64
		for step := range 60 {
			index := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				if hosts[index].Reserve(context.Background(), tokenbudget.Reservation{Program: "p", ProgramLimit: limit, MaxTokens: most}) == nil {
					running[index]++
				}
			case 2, 3:
				if running[index] > 0 {
					running[index]--
					used := rapid.Uint64Range(0, most).Draw(t, "used")
					handedOut += used
					hosts[index].End("p", most, used)
				}
			case 4:
				shared.lose = rapid.IntRange(0, 1).Draw(t, "lose")
				shared.fail = rapid.IntRange(0, 1).Draw(t, "fail")
			case 5:
				handedOut += uint64(running[index]) * most
				running[index] = 0
				hosts[index] = newLedger(fmt.Sprint("restarted", step), shared)
			}
		}
		for _, count := range running {
			handedOut += uint64(count) * most
		}
		assert.Assert(t, handedOut < limit+most, "%d tokens handed out, the limit is %d, the most per turn %d", handedOut, limit, most)
	})
}

// TestIdleReserveIsReleased: the reserve is released after the program's last turn, also if
// the record can't be reached at first.
func TestIdleReserveIsReleased(t *testing.T) {
	shared := newSharedRegister()
	settings := tokenbudget.LedgerSettings{IdleTimeout: time.Millisecond, ReleaseTimeout: time.Second, ReleasePause: time.Millisecond, MaxReleaseAttempts: 50, AllChanges: limit.DefaultAdaptivePolicy(), LowPriorityChanges: limit.DefaultAdaptivePolicy()}
	ledger := tokenbudget.NewLedger("host", shared, func(string) uint32 { return 0 }, settings, time.Now, zap.NewNop())
	assert.NilError(t, ledger.Reserve(context.Background(), tokenbudget.Reservation{Program: "p", ProgramLimit: 10_000, MaxTokens: 100}))
	assert.Equal(t, shared.committed(t, "p"), uint64(400), "one turn and three turns ahead")
	shared.mutex.Lock()
	shared.fail = 3
	shared.mutex.Unlock()
	ledger.End("p", 100, 70)
	harness.Eventually(t, func() (bool, string) {
		committed := shared.committed(t, "p")
		return committed == 70, fmt.Sprintf("%d tokens are committed, 70 are spent", committed)
	})
}

// TestFlush: flushing releases the reserves of programs without turns.
func TestFlush(t *testing.T) {
	shared := newSharedRegister()
	ledger := newLedger("host", shared)
	assert.NilError(t, ledger.Reserve(context.Background(), tokenbudget.Reservation{Program: "p", ProgramLimit: 10_000, MaxTokens: 100}))
	ledger.End("p", 100, 100)
	ledger.Flush(context.Background())
	assert.Equal(t, shared.committed(t, "p"), uint64(100))
}

// TestFewChangesForManyTurns: most turns begin from the reserve, without a change of the record.
func TestFewChangesForManyTurns(t *testing.T) {
	shared := newSharedRegister()
	ledger := newLedger("host", shared)
	for range 12 {
		assert.NilError(t, ledger.Reserve(context.Background(), tokenbudget.Reservation{Program: "p", ProgramLimit: 100_000, MaxTokens: 500}))
		ledger.End("p", 500, 250)
	}
	assert.Assert(t, shared.changes <= 3, "%d changes for 12 turns", shared.changes)
}

// TestReservedElsewhere: tokens that another host reserves aren't reported as spent.
func TestReservedElsewhere(t *testing.T) {
	shared := newSharedRegister()
	first, second := newLedger("a", shared), newLedger("b", shared)
	assert.NilError(t, first.Reserve(context.Background(), tokenbudget.Reservation{Program: "p", ProgramLimit: 100, MaxTokens: 100}))
	assert.ErrorIs(t, second.Reserve(context.Background(), tokenbudget.Reservation{Program: "p", ProgramLimit: 100, MaxTokens: 100}), budget.ErrReserved)
	first.End("p", 100, 100)
	first.Flush(context.Background())
	assert.ErrorIs(t, second.Reserve(context.Background(), tokenbudget.Reservation{Program: "p", ProgramLimit: 100, MaxTokens: 100}), budget.ErrExhausted)
}

// failingRegister fails each change after a pause.
type failingRegister struct {
	mutex                 sync.Mutex
	inProgress            int
	maxInProgress, failed int
}

func (r *failingRegister) Apply(ctx context.Context, _ uint32, _ string, _ register.Change) ([]byte, error) {
	r.mutex.Lock()
	r.inProgress++
	r.maxInProgress = max(r.maxInProgress, r.inProgress)
	r.mutex.Unlock()
	time.Sleep(time.Millisecond)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.inProgress--
	r.failed++
	return nil, register.ErrNoQuorum
}

// TestConcurrentReleasesAreBounded: while the record can't be reached, few releases are in
// progress at the same time.
func TestConcurrentReleasesAreBounded(t *testing.T) {
	failing := &failingRegister{}
	settings := tokenbudget.LedgerSettings{IdleTimeout: time.Millisecond, ReleaseTimeout: time.Second, ReleasePause: time.Millisecond, MaxReleaseAttempts: 3}
	settings.AllChanges = limit.AdaptivePolicy{Start: 1000, Min: 1000, Max: 1000}
	settings.LowPriorityChanges = settings.AllChanges
	ledger := tokenbudget.NewLedger("host", failing, func(string) uint32 { return 0 }, settings, time.Now, zap.NewNop())
	const programs = 200
	for index := range programs {
		_ = ledger.Reserve(context.Background(), tokenbudget.Reservation{Program: fmt.Sprint(index), ProgramLimit: 100, MaxTokens: 10})
	}
	harness.Eventually(t, func() (bool, string) {
		failing.mutex.Lock()
		defer failing.mutex.Unlock()
		return failing.failed >= programs*(1+settings.MaxReleaseAttempts), fmt.Sprintf("%d attempts", failing.failed)
	})
	assert.Assert(t, failing.maxInProgress <= 17, "%d concurrent attempts", failing.maxInProgress)
}
