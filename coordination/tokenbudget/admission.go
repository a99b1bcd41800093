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
	// runningTime is how long after its last turn a program counts as running: a
	// few times the pause in which programs call their tools. Chosen, not measured.
	runningTime = 10 * time.Second
	// crowdedAfter is how long a change may take before this host refuses programs
	// that begin: a few times what a change takes on an idle host, and well below
	// tryTimeout, which a gateway waits for it. Chosen, not measured.
	crowdedAfter = 100 * time.Millisecond
	// cutOffAfter is how long all changes must have failed before this host counts
	// as cut off rather than overloaded: longer than tryTimeout, so that one slow
	// round doesn't count. Chosen, not measured.
	cutOffAfter = 500 * time.Millisecond
)

// urgency says which changes of records go first where there are too many.
type urgency int

const (
	// deferrable changes begin a program or give a reserve back: nothing is lost if
	// they come later.
	deferrable urgency = iota
	// running changes let a program go on. A program that is refused in its middle
	// has computed its earlier turns in vain.
	running
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
	// all bounds every change, crowd the deferrable ones.
	all   *limit.Adaptive
	crowd *limit.Adaptive
	// decided is when a record was last changed, in nanoseconds since 1970.
	decided atomic.Int64

	mutex sync.Mutex
	// programs are those that had a turn here within runningTime.
	programs *recent.Map[struct{}]
}

func newAdmission(all, crowd limit.AdaptivePolicy, now func() time.Time) *admission {
	return &admission{
		now: now, all: limit.NewAdaptive(all, now), crowd: limit.NewAdaptive(crowd, now),
		programs: recent.New(runningTime, func(time.Time) struct{} { return struct{}{} }),
	}
}

// urgencyOf says whether the reservation lets a program go on or begins one.
func (a *admission) urgencyOf(wanted Reservation) urgency {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if wanted.Running || a.programs.Has(wanted.Program) {
		return running
	}
	return deferrable
}

// began records that a turn of the program has begun.
func (a *admission) began(program string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.programs.Get(program, a.now())
}

// begin lets a change begin or returns why it is refused. After success, end must
// be called with the time at which the change began.
func (a *admission) begin(wanted urgency) error {
	if wanted == running {
		a.crowd.Enter()
	} else if !a.crowd.Begin() {
		return merry.Wrap(ErrOverloaded, merry.AppendMessagef("%d changes of budgets are under way, no program begins", a.crowd.Limit()))
	}
	if a.all.Begin() {
		return nil
	}
	a.crowd.End(true)
	return a.refusal()
}

// end records how a change ended.
func (a *admission) end(began time.Time, err error) {
	now := a.now()
	a.all.End(err != nil)
	a.crowd.End(err != nil || now.Sub(began) > crowdedAfter)
	if err == nil {
		a.decided.Store(now.UnixNano())
	}
}

// refusal is the error of a change that the limit refuses. A host that changes other
// records is overloaded; one that changes none is cut off, and another host may
// succeed.
func (a *admission) refusal() error {
	idle := a.now().Sub(time.Unix(0, a.decided.Load()))
	if idle > cutOffAfter {
		return merry.Errorf("no record was changed for %s", idle)
	}
	return merry.Wrap(ErrOverloaded, merry.AppendMessagef("%d changes of budgets are under way", a.all.Limit()))
}
