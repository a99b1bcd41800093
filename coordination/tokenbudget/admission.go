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
	// runningProgramWindow is how long after its last turn a program counts as running.
	// It covers the pauses in which programs call their tools.
	runningProgramWindow = 10 * time.Second
	// slowChangeThreshold is the duration above which a change lowers the limit for
	// low-priority changes. It is below attemptTimeout, after which the gateway has given
	// the attempt up.
	slowChangeThreshold = 100 * time.Millisecond
	// isolationThreshold is how long all changes must have failed before the host reports
	// that it can't reach records rather than that it is overloaded. It is longer than
	// attemptTimeout, so that a single slow change doesn't exceed it.
	isolationThreshold = 500 * time.Millisecond
)

// priority tells which changes of records are admitted first under load.
type priority int

const (
	// lowPriority changes begin a program or release a reserve. They can be repeated later
	// without loss.
	lowPriority priority = iota
	// highPriority changes let a running program continue. Refusing one wastes the
	// program's earlier turns.
	highPriority
)

// admission decides whether this host begins another change of a record:
//
//   - An adaptive limit bounds all changes in progress. It falls with each change that
//     fails, so that under overload most of the changes that begin also finish in time.
//   - A second adaptive limit bounds low-priority changes. It also falls with each change
//     that takes longer than slowChangeThreshold, so that running programs go first.
//   - A refusal is ErrOverloaded, which keeps gateways from asking another host. If no
//     change has succeeded for isolationThreshold, the refusal says instead that records
//     can't be reached, so that gateways do ask another host.
//
// It is safe for concurrent use.
type admission struct {
	now func() time.Time
	// allChanges bounds every change, lowPriorityChanges those of low priority.
	allChanges         *limit.AdaptiveLimit
	lowPriorityChanges *limit.AdaptiveLimit
	// lastSuccess is when a record was last changed, in Unix nanoseconds.
	lastSuccess atomic.Int64

	mutex sync.Mutex
	// runningPrograms holds the programs that had a turn here within runningProgramWindow.
	runningPrograms *recent.Map[struct{}]
}

func newAdmission(allPolicy, lowPriorityPolicy limit.AdaptivePolicy, now func() time.Time) *admission {
	return &admission{
		now: now, allChanges: limit.NewAdaptiveLimit(allPolicy, now), lowPriorityChanges: limit.NewAdaptiveLimit(lowPriorityPolicy, now),
		runningPrograms: recent.New(runningProgramWindow, func(time.Time) struct{} { return struct{}{} }),
	}
}

// priorityOf returns highPriority for a turn of a running program, lowPriority otherwise.
func (a *admission) priorityOf(reservation Reservation) priority {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if reservation.ProgramRunning || a.runningPrograms.Has(reservation.Program) {
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

// beginChange admits a change or returns why it is refused. Each admitted change must be
// ended by endChange, with the time at which it began.
func (a *admission) beginChange(level priority) error {
	if level == highPriority {
		a.lowPriorityChanges.ForceAcquire()
	} else if !a.lowPriorityChanges.TryAcquire() {
		return merry.Wrap(ErrOverloaded, merry.AppendMessagef("the limit of %d budget changes in progress is reached for new programs", a.lowPriorityChanges.Limit()))
	}
	if a.allChanges.TryAcquire() {
		return nil
	}
	a.lowPriorityChanges.Release(true)
	return a.refusalError()
}

// endChange records the result of a change.
func (a *admission) endChange(began time.Time, err error) {
	now := a.now()
	a.allChanges.Release(err != nil)
	a.lowPriorityChanges.Release(err != nil || now.Sub(began) > slowChangeThreshold)
	if err == nil {
		a.lastSuccess.Store(now.UnixNano())
	}
}

// refusalError returns the error of a change that the limit refuses: ErrOverloaded while
// other changes succeed, otherwise an error that sends gateways to another host.
func (a *admission) refusalError() error {
	idle := a.now().Sub(time.Unix(0, a.lastSuccess.Load()))
	if idle > isolationThreshold {
		return merry.Errorf("no budget record was changed for %s", idle)
	}
	return merry.Wrap(ErrOverloaded, merry.AppendMessagef("the limit of %d budget changes in progress is reached", a.allChanges.Limit()))
}
