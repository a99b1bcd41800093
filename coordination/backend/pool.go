package backend

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// ErrNoInstance is returned if no instance of the service can take a request.
var ErrNoInstance = errors.New("no instance can take the request")

// Pool chooses instances for requests and tracks this node's work at each. It is safe for
// concurrent use.
type Pool struct {
	now    func() time.Time
	policy limit.EjectionPolicy
	// onEjected is called for each ejected instance, with the outcome that caused it.
	onEjected func(Instance, Outcome)
	// onRestarted is called for each instance that was restarted under its ID.
	onRestarted func(Restart)

	current atomic.Pointer[snapshot]
	// choosing is held from the choice of an instance until the request is in its load.
	choosing sync.Mutex
	// mutex guards the fields below and is held while the snapshot is replaced.
	mutex sync.Mutex
	// listed holds the instances of the last call of Replace.
	listed []Instance
	// ended holds the last incarnations of removed instances by ID.
	ended map[string]endedIncarnation
}

// NewPool returns a pool without instances.
func NewPool(policy limit.EjectionPolicy, now func() time.Time) *Pool {
	pool := &Pool{
		now: now, policy: policy, ended: make(map[string]endedIncarnation),
		onEjected: func(Instance, Outcome) {}, onRestarted: func(Restart) {},
	}
	pool.current.Store(newSnapshot(nil, nil, policy))
	return pool
}

// Replace sets the instances that requests are sent to. Instances that vanished in a mass
// expiry are kept. It returns the IDs of the removed instances and the number of instances
// kept without an entry: if there are any, Expire must be called after
// ExpiryGracePeriod.
func (p *Pool) Replace(instances []Instance) (removed []string, kept int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listed = instances
	return p.rebuild()
}

// Expire removes kept instances that didn't come back in time and returns their IDs.
func (p *Pool) Expire() (removed []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	removed, _ = p.rebuild()
	return removed
}

// rebuild builds the snapshot from the instances listed last. The mutex must be held.
func (p *Pool) rebuild() (removed []string, kept int) {
	previous := p.current.Load()
	p.pruneEnded()
	listed := p.resolveIncarnations(previous, p.listed)
	retained := retainExpired(previous, listed, p.now())
	next := newSnapshot(slices.Concat(listed, retained), previous, p.policy)
	for _, instance := range listed {
		next.byID[instance.ID].load.clearExpiry()
	}
	var restarts []Restart
	for id, old := range previous.byID {
		current, found := next.byID[id]
		switch {
		case !found:
			p.endIncarnation(previous, old)
			p.recordEnded(old)
			removed = append(removed, id)
		case current.load != old.load:
			p.endIncarnation(previous, old)
			old.load.replaced.Store(true)
			next.services[current.Service].health.ejector.Add(id)
			restarts = append(restarts, Restart{Previous: old.Incarnation(), Current: current.Incarnation(), InFlight: old.load.outstanding.Load()})
		}
	}
	p.current.Store(next)
	for _, restart := range restarts {
		p.onRestarted(restart)
	}
	return removed, len(retained)
}

// endIncarnation marks an incarnation as ended and drops its health.
func (p *Pool) endIncarnation(previous *snapshot, old *member) {
	old.load.ended.Store(true)
	previous.services[old.Service].health.ejector.Remove(old.ID)
}

// MarkAddressLost records that another instance was found at the address of this
// incarnation, which from then on gets requests only as a last resort.
func (p *Pool) MarkAddressLost(incarnation Incarnation) {
	if known, found := p.current.Load().byID[incarnation.ID]; found && known.Incarnation().isSame(incarnation) {
		known.load.addressLost.Store(true)
	}
}

// OnRestarted sets the function that is called for each instance that was restarted under
// its ID. It must be called before the pool is used.
func (p *Pool) OnRestarted(callback func(Restart)) { p.onRestarted = callback }

// OnEjected sets the function that is called for each ejected instance, with the outcome
// that caused it. It must be called before the pool is used.
func (p *Pool) OnEjected(callback func(Instance, Outcome)) { p.onEjected = callback }

// Lookup returns the instance with the ID.
func (p *Pool) Lookup(id string) (Instance, bool) {
	known, found := p.current.Load().byID[id]
	if !found {
		return Instance{}, false
	}
	return known.Instance, true
}

// Count returns the number of instances of all services, and how many of them are leaving.
func (p *Pool) Count() (known, leaving int) {
	for _, member := range p.current.Load().byID {
		known++
		if member.Leaving {
			leaving++
		}
	}
	return known, leaving
}

// Versions returns the software versions of the instances of each service, sorted.
func (p *Pool) Versions() map[string][]string {
	versions := make(map[string][]string)
	for name, svc := range p.current.Load().services {
		versions[name] = svc.versions
	}
	return versions
}

// AcceptsVersion reports whether an instance of the service accepts requests at the
// software version.
func (p *Pool) AcceptsVersion(name, version string) bool {
	svc, found := p.current.Load().services[name]
	return found && slices.ContainsFunc(svc.members, func(m *member) bool { return m.Version == version && !m.Leaving })
}

// PlanVersion returns the software version of the instance that Acquire would choose now.
// ok is false if no instance of the service can take the request.
func (p *Pool) PlanVersion(query Query) (version string, ok bool) {
	svc, found := p.current.Load().services[query.Service]
	if !found {
		return "", false
	}
	if len(svc.versions) == 1 {
		return svc.versions[0], true
	}
	now := p.now()
	candidates := svc.candidates(query, now, svc.health.ejector.MayProbe)
	if len(candidates) == 0 {
		return "", false
	}
	chosen, _ := chooseFor(query, candidates, now)
	return chosen.member.Version, true
}

// Query describes a request that needs an instance.
type Query struct {
	Service string
	// Route is the name of the route. Waits are compared per route.
	Route string
	// Key is the affinity key: it names the context that the request has in common with
	// others, such as its program. Empty for none.
	Key string
	// Version restricts the choice to instances of a software version; nil for any.
	Version *string
	// Tried holds the IDs of instances that this request was sent to before.
	Tried []string
}

// Assignment is the assignment of a request to an instance until Release.
type Assignment struct {
	Instance Instance
	// Preferred is set if the instance ranks first for the key.
	Preferred bool
	// Outstanding is the number of other requests that this node had in flight there.
	Outstanding int64

	pool         *Pool
	load         *load
	health       *serviceHealth
	route        string
	stallTimeout time.Duration
	// lastActivity is when the last part of the response arrived, or the time of Acquire
	// before that, as Unix nanoseconds.
	lastActivity atomic.Int64
	released     atomic.Bool
}

// Acquire chooses an instance and counts the request there until Release. It returns
// ErrNoInstance if no instance of the service can take the request.
func (p *Pool) Acquire(query Query) (*Assignment, error) {
	now := p.now()
	svc, ok := p.current.Load().services[query.Service]
	if !ok {
		return nil, ErrNoInstance
	}
	p.choosing.Lock()
	defer p.choosing.Unlock()
	candidates := svc.candidates(query, now, svc.claimProbe)
	if len(candidates) == 0 {
		return nil, ErrNoInstance
	}
	chosen, preferred := chooseFor(query, candidates, now)
	a := &Assignment{
		Instance: chosen.member.Instance, Preferred: preferred, Outstanding: chosen.outstanding,
		pool: p, load: chosen.member.load, health: svc.health,
		route: query.Route, stallTimeout: svc.health.stallTimeout(query.Route, now),
	}
	a.lastActivity.Store(now.UnixNano())
	a.load.add(a)
	return a, nil
}

func chooseFor(query Query, candidates []candidate, now time.Time) (chosen candidate, preferred bool) {
	return choose(picker{
		candidates: candidates,
		hasKey:     query.Key != "",
		isStalled:  func(c candidate) bool { return c.member.load.isStalled(now) },
		random:     rand.IntN,
	})
}

// RecordActivity records that a part of the response arrived.
func (a *Assignment) RecordActivity() { a.lastActivity.Store(a.pool.now().UnixNano()) }

// IsReplaced reports whether another process has the ID or the address of the instance.
func (a *Assignment) IsReplaced() bool { return a.load.replaced.Load() || a.load.addressLost.Load() }

// IsLeaving reports whether the instance is listed as leaving.
func (a *Assignment) IsLeaving() bool {
	known, found := a.pool.Lookup(a.Instance.ID)
	return found && known.Leaving
}

// IsUnlisted reports whether the instance, or its incarnation, isn't listed any more.
func (a *Assignment) IsUnlisted() bool { return a.load.ended.Load() }

// Release ends the assignment and returns the instance's health afterwards. Only the first
// call has an effect.
func (a *Assignment) Release(outcome Outcome) limit.EngineHealth {
	now := a.pool.now()
	if a.released.Swap(true) {
		return a.health.ejector.Health(a.Instance.ID, now)
	}
	a.load.remove(a)
	if a.load.ended.Load() {
		return a.health.ejector.Health(a.Instance.ID, now)
	}
	before := a.health.ejector.Health(a.Instance.ID, now)
	after := a.health.observe(a.Instance.ID, a.route, outcome, now)
	if before != limit.Ejected && after == limit.Ejected {
		a.pool.onEjected(a.Instance, outcome)
	}
	return after
}
