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

// ErrNoInstance is returned where no instance of the service can take a request.
var ErrNoInstance = errors.New("no instance can take the request")

// Pool chooses instances and counts this node's work at them. It is safe for
// concurrent use.
type Pool struct {
	now    func() time.Time
	policy limit.EjectionPolicy
	// ejected is told of each instance that is left out from now on, with the ending that
	// decided it.
	ejected func(Instance, Ending)
	// restarted is told of each instance that was started again under its id.
	restarted func(Restart)

	current atomic.Pointer[snapshot]
	// mutex guards what follows, and is held while the set is replaced.
	mutex sync.Mutex
	// listed are the instances as they were given last.
	listed []Instance
	// ended are the last lives of instances that are gone, by their ids.
	ended map[string]endedLife
}

// NewPool makes a pool that knows no instance.
func NewPool(policy limit.EjectionPolicy, now func() time.Time) *Pool {
	pool := &Pool{
		now: now, policy: policy, ended: make(map[string]endedLife),
		ejected: func(Instance, Ending) {}, restarted: func(Restart) {},
	}
	pool.current.Store(newSnapshot(nil, nil, policy))
	return pool
}

// Replace has requests sent to these instances, and to those known before whose entries
// seem to have lapsed. It returns the ids of the instances that are gone, and how many
// are kept though they have no entry: where there are any, Expire is to be called after
// LapseTime.
func (p *Pool) Replace(instances []Instance) (gone []string, kept int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listed = instances
	return p.rebuild()
}

// Expire drops instances that lapsed and didn't come back in time, and returns
// their ids.
func (p *Pool) Expire() (gone []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	gone, _ = p.rebuild()
	return gone
}

// rebuild makes the set of what was listed last. The mutex must be held.
func (p *Pool) rebuild() (gone []string, kept int) {
	previous := p.current.Load()
	p.pruneEnded()
	listed := p.resolveLives(previous, p.listed)
	missing := retainExpired(previous, listed, p.now())
	next := newSnapshot(slices.Concat(listed, missing), previous, p.policy)
	for _, instance := range listed {
		next.byID[instance.ID].load.clearExpiry()
	}
	var restarts []Restart
	for id, was := range previous.byID {
		is, stays := next.byID[id]
		switch {
		case !stays:
			p.endLife(previous, was)
			p.recordEnded(was)
			gone = append(gone, id)
		case is.load != was.load:
			p.endLife(previous, was)
			next.services[is.Service].health.ejector.Know(id)
			restarts = append(restarts, Restart{Was: was.Life(), Is: is.Life(), UnderWay: was.load.outstanding.Load()})
		}
	}
	p.current.Store(next)
	for _, restart := range restarts {
		p.restarted(restart)
	}
	return gone, len(missing)
}

// endLife notes that a life of an instance is over, and forgets how it served.
func (p *Pool) endLife(previous *snapshot, was *member) {
	was.load.ended.Store(true)
	previous.services[was.Service].health.ejector.Forget(was.ID)
}

// Gone says that another instance was found at the address of this one, which then gets
// new work only where nothing else is left. Only the given life is concerned.
func (p *Pool) Gone(life Life) {
	if known, found := p.current.Load().byID[life.ID]; found && known.Life().isSame(life) {
		known.load.addressLost.Store(true)
	}
}

// OnRestarted sets who is told of each instance that was started again under its id. It
// is to be called before the pool is used.
func (p *Pool) OnRestarted(tell func(Restart)) { p.restarted = tell }

// OnEjected sets who is told of each instance that is left out, and of the ending that
// decided it. It is to be called before the pool is used.
func (p *Pool) OnEjected(tell func(Instance, Ending)) { p.ejected = tell }

// Known returns the instance that has the id.
func (p *Pool) Known(id string) (Instance, bool) {
	known, found := p.current.Load().byID[id]
	if !found {
		return Instance{}, false
	}
	return known.Instance, true
}

// Count returns how many instances of all services are known, and how many of
// these are leaving.
func (p *Pool) Count() (known, leaving int) {
	for _, member := range p.current.Load().byID {
		known++
		if member.Leaving {
			leaving++
		}
	}
	return known, leaving
}

// Query describes a request to be placed.
type Query struct {
	Service string
	// Route names the kind of work, so that like is compared with like.
	Route string
	// Key names the context that the request shares with others, such as its
	// program; empty for none.
	Key string
	// Tried are ids of instances that this request was sent to before.
	Tried []string
}

// Choice is a request's place at an instance until Release.
type Choice struct {
	Instance Instance
	// Preferred tells that the instance is the first in the key's order.
	Preferred bool
	// Outstanding is how many other requests of this node were there.
	Outstanding int64

	pool         *Pool
	load         *load
	health       *serviceHealth
	route        string
	stallTimeout time.Duration
	// lastActivity is when the instance last gave a sign of the request, in
	// nanoseconds since 1970.
	lastActivity atomic.Int64
	released     atomic.Bool
}

// Acquire chooses an instance and counts the request there until Release. It returns
// ErrNone where no instance of the service can take the request.
func (p *Pool) Acquire(query Query) (*Choice, error) {
	now := p.now()
	of, ok := p.current.Load().services[query.Service]
	if !ok {
		return nil, ErrNoInstance
	}
	candidates := of.candidates(query, now)
	if len(candidates) == 0 {
		return nil, ErrNoInstance
	}
	chosen, preferred := choose(picker{
		candidates: candidates,
		hasKey:     query.Key != "",
		isStalled:  func(c candidate) bool { return c.member.load.isStalled(now) },
		random:     rand.IntN,
	})
	c := &Choice{
		Instance: chosen.member.Instance, Preferred: preferred, Outstanding: chosen.outstanding,
		pool: p, load: chosen.member.load, health: of.health,
		route: query.Route, stallTimeout: of.health.stallTimeout(query.Route, now),
	}
	c.lastActivity.Store(now.UnixNano())
	c.load.add(c)
	return c, nil
}

// Heard notes that something of the answer came.
func (c *Choice) Heard() { c.lastActivity.Store(c.pool.now().UnixNano()) }

// Release ends the request's place. Only the first call counts. It returns the
// instance's health after it.
func (c *Choice) Release(ending Ending) limit.EngineHealth {
	now := c.pool.now()
	if c.released.Swap(true) {
		return c.health.ejector.Health(c.Instance.ID, now)
	}
	c.load.remove(c)
	if c.load.ended.Load() {
		return c.health.ejector.Health(c.Instance.ID, now)
	}
	before := c.health.ejector.Health(c.Instance.ID, now)
	after := c.health.observe(c.Instance.ID, c.route, ending, now)
	if before != limit.Ejected && after == limit.Ejected {
		c.pool.ejected(c.Instance, ending)
	}
	return after
}
