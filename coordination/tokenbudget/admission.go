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
	// few times the pause in which programs call their tools.
	runningTime = 10 * time.Second
	// crowdedAfter is how long a change may take before programs that begin are
	// kept away: it is a few times what one takes on an idle host, and well below
	// what a turn waits for it (tryTimeout).
	crowdedAfter = 100 * time.Millisecond
	// cutOffAfter is how long no record may have been changed, while changes end
	// in vain, before this holder counts as cut off rather than overloaded.
	cutOffAfter = 500 * time.Millisecond
)

// urgency says which changes of records go first where there are too many.
type urgency int

const (
	// deferrable changes are those that begin a program and those that give a
	// reserve back: nothing is lost where they come later.
	deferrable urgency = iota
	// running changes let programs go on. One that ends in its middle has used
	// what it has used for nothing.
	running
)

// admission bounds the changes of records under way. It is safe for concurrent
// use.
type admission struct {
	now func() time.Time
	// all bounds every change by how many are given up, crowd those that can wait
	// by how long changes take.
	all   *limit.Adaptive
	crowd *limit.Adaptive
	// decided is when a record was last changed, in nanoseconds since 1970.
	decided atomic.Int64

	mutex sync.Mutex
	// programs are those that turns began of here lately.
	programs *recent.Map[struct{}]
}

func newAdmission(all, crowd limit.AdaptivePolicy, now func() time.Time) *admission {
	return &admission{
		now: now, all: limit.NewAdaptive(all, now), crowd: limit.NewAdaptive(crowd, now),
		programs: recent.New(runningTime, func(time.Time) struct{} { return struct{}{} }),
	}
}

// urgencyOf tells a program that runs from one that begins.
func (a *admission) urgencyOf(wanted Reservation) urgency {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if wanted.Running || a.programs.Has(wanted.Program) {
		return running
	}
	return deferrable
}

// began notes that a turn of the program begins.
func (a *admission) began(program string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.programs.Get(program, a.now())
}

// begin lets a change begin, or says why it can't. After success, end must be
// called with when it began.
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

// end takes in how a change ended.
func (a *admission) end(began time.Time, err error) {
	now := a.now()
	a.all.End(err != nil)
	a.crowd.End(err != nil || now.Sub(began) > crowdedAfter)
	if err == nil {
		a.decided.Store(now.UnixNano())
	}
}

// refusal says why no change can begin: a holder that changes others has too
// much to do; one that changes none is cut off, and others may do better.
func (a *admission) refusal() error {
	idle := a.now().Sub(time.Unix(0, a.decided.Load()))
	if idle > cutOffAfter {
		return merry.Errorf("no record was changed for %s", idle)
	}
	return merry.Wrap(ErrOverloaded, merry.AppendMessagef("%d changes of budgets are under way", a.all.Limit()))
}
