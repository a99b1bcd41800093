package backend

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// ErrNone is returned where no instance of the service can take a request.
var ErrNone = errors.New("no instance can take the request")

// probeTimeout is how long the single request of a probed instance may keep
// others away.
const probeTimeout = 3 * time.Second

// Pool chooses instances and counts this node's work at them. It is safe for
// concurrent use.
type Pool struct {
	zone    string
	now     func() time.Time
	ejector *limit.Ejector

	current atomic.Pointer[set]
	mutex   sync.Mutex
}

// NewPool makes a pool for a node of the zone that knows no instance.
func NewPool(zone string, policy limit.EjectionPolicy, now func() time.Time) *Pool {
	pool := &Pool{zone: zone, now: now, ejector: limit.NewEjector(policy)}
	pool.current.Store(newSet(nil, nil))
	return pool
}

// EjectionPolicy suits pools whose instances restart often: an instance is
// left out soon, asked again soon, and never more than half of a pool.
func EjectionPolicy() limit.EjectionPolicy {
	return limit.EjectionPolicy{
		SlowFactor:  4,
		Failures:    3,
		MinSamples:  8,
		BaseTime:    time.Second,
		MaxTime:     8 * time.Second,
		MaxFraction: 0.5,
		Probes:      2,
	}
}

// Replace makes the instances those that requests are sent to. It returns the
// ids of instances that are gone.
func (p *Pool) Replace(instances []Instance) (gone []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	previous := p.current.Load()
	next := newSet(instances, previous)
	p.current.Store(next)
	for id := range next.byID {
		p.ejector.Know(id)
	}
	for id := range previous.byID {
		if _, stays := next.byID[id]; !stays {
			p.ejector.Forget(id)
			gone = append(gone, id)
		}
	}
	return gone
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

	pool     *Pool
	load     *load
	released atomic.Bool
}

// Acquire chooses an instance and counts the request there.
func (p *Pool) Acquire(query Query) (*Choice, error) {
	now := p.now()
	members := p.current.Load().services[query.Service]
	candidates := p.usable(members, query.Tried, now)
	if len(candidates) == 0 {
		return nil, ErrNone
	}
	chosen, preferred := chooseNear(candidates, p.zone, query.Key)
	outstanding := chosen.load.outstanding.Add(1) - 1
	return &Choice{
		Instance: chosen.Instance, Preferred: preferred, Outstanding: outstanding,
		pool: p, load: chosen.load,
	}, nil
}

// usable returns the instances that may get new work. Where all of them are
// ejected, these are better than none.
func (p *Pool) usable(members []*member, tried []string, now time.Time) []*member {
	var healthy, ejected []*member
	for _, member := range members {
		if member.Leaving || contains(tried, member.ID) {
			continue
		}
		switch p.ejector.Health(member.ID, now) {
		case limit.Healthy:
			healthy = append(healthy, member)
		case limit.Probed:
			if p.ejector.Probe(member.ID, probeTimeout, now) {
				return append(healthy[:0], member)
			}
			ejected = append(ejected, member)
		case limit.Ejected:
			ejected = append(ejected, member)
		}
	}
	if len(healthy) == 0 {
		return ejected
	}
	return healthy
}

// Verdict is what a request showed of its instance.
type Verdict int

// Verdicts.
const (
	// Neutral says nothing, such as a request that its client gave up.
	Neutral Verdict = iota
	// Good is a proper answer.
	Good
	// Bad is silence, a broken connection or an answer that isn't one.
	Bad
)

// Release ends the request's place. Only the first call counts. It returns the
// instance's health after it.
func (c *Choice) Release(verdict Verdict) limit.EngineHealth {
	now := c.pool.now()
	if c.released.Swap(true) {
		return c.pool.ejector.Health(c.Instance.ID, now)
	}
	c.load.outstanding.Add(-1)
	if verdict == Neutral {
		return c.pool.ejector.Health(c.Instance.ID, now)
	}
	return c.pool.ejector.Observe(c.Instance.ID, limit.Outcome{Failed: verdict == Bad}, now)
}

func contains(ids []string, id string) bool {
	for _, known := range ids {
		if known == id {
			return true
		}
	}
	return false
}
