package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// Instance is a back end process.
type Instance struct {
	// ID is unique over all instances; an address may be used again by another.
	ID string
	// Started is when the process started, by its own clock; zero where it doesn't say.
	// One that is started again may keep its id: see Life.
	Started time.Time
	Service string
	// Address is an IP number and port.
	Address string
	// Zone is the zone whose failure takes the instance with it.
	Zone string
	// Capacity is how many requests it works on at once.
	Capacity int
	// Leaving instances get nothing new.
	Leaving bool
}

// member is an instance with what this node knows of its work there.
type member struct {
	Instance
	load *load
	// hash mixes the instance's id into rendezvous weights.
	hash uint64
}

// candidate is the member as a choice, for a request whose key has the hash.
func (m *member) candidate(key uint64) candidate {
	return candidate{member: m, weight: fmix64(m.hash ^ key), outstanding: m.load.outstanding.Load()}
}

// snapshot is an immutable collection of instances.
type snapshot struct {
	services map[string]*service
	byID     map[string]*member
}

// service is the instances of one service; its health outlives the sets.
type service struct {
	members []*member
	health  *serviceHealth
}

func newSnapshot(instances []Instance, previous *snapshot, policy limit.EjectionPolicy) *snapshot {
	next := &snapshot{services: make(map[string]*service), byID: make(map[string]*member, len(instances))}
	for _, instance := range instances {
		joined := &member{Instance: instance, load: previous.loadFor(instance.Life()), hash: hashString(instance.ID)}
		next.byID[instance.ID] = joined
		of := next.services[instance.Service]
		if of == nil {
			of = &service{health: previous.healthFor(instance.Service, policy)}
			next.services[instance.Service] = of
		}
		of.members = append(of.members, joined)
		of.health.ejector.Know(instance.ID)
	}
	for _, of := range next.services {
		slices.SortFunc(of.members, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return next
}

// healthFor returns the judgement of a service that was known before, or a new one.
func (s *snapshot) healthFor(name string, policy limit.EjectionPolicy) *serviceHealth {
	if s != nil {
		if known, found := s.services[name]; found {
			return known.health
		}
	}
	return newServiceHealth(policy)
}

// loadFor returns the load of a life that was known before, or a new one.
func (s *snapshot) loadFor(life Life) *load {
	if s != nil {
		if known, found := s.byID[life.ID]; found && known.Life().isSame(life) {
			return known.load
		}
	}
	return &load{}
}
