package tokenbudget

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/recent"
)

const (
	// runningProgramWindow is how long after its last turn a program counts as running: a
	// few times the pause in which programs call their tools. Chosen, not measured.
	runningProgramWindow = 10 * time.Second
	// slowChangeThreshold is how long a change may take before this host refuses programs
	// that begin: a few times what a change takes on an idle host, and well below
	// tryTimeout, which a gateway waits for it. Chosen, not measured.
	slowChangeThreshold = 100 * time.Millisecond
	// isolationThreshold is how long all changes must have failed before this host counts
	// as cut off rather than overloaded: longer than tryTimeout, so that one slow
	// round doesn't count. Chosen, not measured.
	isolationThreshold = 500 * time.Millisecond
)

// priority says which changes of records go first where there are too many.
type priority int

const (
	// lowPriority changes begin a program or give a reserve back: nothing is lost if
	// they come later.
	lowPriority priority = iota
	// highPriority changes let a program go on. A program that is refused in its middle
	// has computed its earlier turns in vain.
	highPriority
)

// admission decides whether this host begins another change of a record:
//
//   - A change is refused while as many are under way as the adaptive limit allows.
//     The limit falls with each change that fails, so that under overload most of
//     what begins also ends in time. Without it, hosts finished 7 of 5,000 changes
//     at four times the load that they can do (virtual time,
//     limit.TestOverloadFinishesWhatItBegins).
//   - A deferrable change is refused by a second limit, which also falls with each
//     change that takes longer than crowdedAfter. So programs that run go first:
//     hosts offered 80, 160 and 320 programs a second finish 80.0, 89.2 and 88.8 of
//     them a second, and 80.0, 39.8 and 8.8 without it (virtual time,
//     TestOverloadFinishesPrograms).
//   - A host that refuses says ErrOverloaded, which keeps gateways from asking
//     another host; after cutOffAfter without any change that succeeded it says
//     that it can't reach the record, so that they do ask another.
//
// It is safe for concurrent use.
type admission struct {
	now func() time.Time
	// allChanges bounds every change, crowd the deferrable ones.
	allChanges   *limit.Adaptive
	lowPriorityChanges *limit.Adaptive
	// lastSuccess is when a record was last changed, in nanoseconds since 1970.
	lastSuccess atomic.Int64

	mutex sync.Mutex
	// runningPrograms are those that had a turn here within runningTime.
	runningPrograms *recent.Map[struct{}]
}

func newAdmission(all, crowd limit.AdaptivePolicy, now func() time.Time) *admission {
	return &admission{
		now: now, allChanges: limit.NewAdaptive(all, now), lowPriorityChanges: limit.NewAdaptive(crowd, now),
		runningPrograms: recent.New(runningProgramWindow, func(time.Time) struct{} { return struct{}{} }),
	}
}

// priorityOf says whether the reservation lets a program go on or begins one.
func (a *admission) priorityOf(wanted Reservation) priority {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if wanted.Running || a.runningPrograms.Has(wanted.Program) {
		return highPriority
	}
	return lowPriority
}

// recordTurn records that a turn of the program has begun.
func (a *admission) recordTurn(program string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.runningPrograms.Get(program, a.now())
}

// beginChange lets a change beginChange or returns why it is refused. After success, end must
// be called with the time at which the change began.
func (a *admission) beginChange(wanted priority) error {
	if wanted == highPriority {
		a.lowPriorityChanges.Enter()
	} else if !a.lowPriorityChanges.Begin() {
		return merry.Wrap(ErrOverloaded, merry.AppendMessagef("%d changes of budgets are under way, no program begins", a.lowPriorityChanges.Limit()))
	}
	if a.allChanges.Begin() {
		return nil
	}
	a.lowPriorityChanges.End(true)
	return a.refusalError()
}

// endChange records how a change ended.
func (a *admission) endChange(began time.Time, err error) {
	now := a.now()
	a.allChanges.End(err != nil)
	a.lowPriorityChanges.End(err != nil || now.Sub(began) > slowChangeThreshold)
	if err == nil {
		a.lastSuccess.Store(now.UnixNano())
	}
}

// refusalError is the error of a change that the limit refuses. A host that changes other
// records is overloaded; one that changes none is cut off, and another host may
// succeed.
func (a *admission) refusalError() error {
	idle := a.now().Sub(time.Unix(0, a.lastSuccess.Load()))
	if idle > isolationThreshold {
		return merry.Errorf("no record was changed for %s", idle)
	}
	return merry.Wrap(ErrOverloaded, merry.AppendMessagef("%d changes of budgets are under way", a.allChanges.Limit()))
}
