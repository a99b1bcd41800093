package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/sleep"
)

// drainPollInterval is the interval at which drain checks for calls under way.
const drainPollInterval = 5 * time.Millisecond

// errStopping is the failure of a call that a stopping node refuses. It hasn't run.
var errStopping = merry.Sentinel("this node is stopping")

// callTracker counts the calls under way: those that run or whose answers aren't written.
// It is safe for concurrent use.
type callTracker struct {
	isDraining atomic.Bool
	// counts maps the kinds of calls to an *atomic.Int64.
	counts sync.Map
}

// begin counts a call, unless the node is stopping, and reports whether it did. Each counted
// call must be ended.
func (t *callTracker) begin(call *peerv1.Call) bool {
	count := t.count(callKind(call))
	// Counted before the check, so that drain misses no call that passes it.
	count.Add(1)
	if t.isDraining.Load() {
		count.Add(-1)
		return false
	}
	return true
}

// end ends a counted call of the kind.
func (t *callTracker) end(kind string) { t.count(kind).Add(-1) }

func (t *callTracker) count(kind string) *atomic.Int64 {
	if known, found := t.counts.Load(kind); found {
		return known.(*atomic.Int64)
	}
	count, _ := t.counts.LoadOrStore(kind, new(atomic.Int64))
	return count.(*atomic.Int64)
}

// underWay returns the number of calls under way by kind. It is empty if there are none.
func (t *callTracker) underWay() map[string]int64 {
	calls := make(map[string]int64)
	t.counts.Range(func(kind, count any) bool {
		if number := count.(*atomic.Int64).Load(); number > 0 {
			calls[kind.(string)] = number
		}
		return true
	})
	return calls
}

// drain refuses new calls and waits until no call is under way or the context ends. It
// returns the calls under way by kind.
func (t *callTracker) drain(ctx context.Context) map[string]int64 {
	t.isDraining.Store(true)
	for {
		calls := t.underWay()
		if len(calls) == 0 || sleep.For(ctx, drainPollInterval) != nil {
			return calls
		}
	}
}
