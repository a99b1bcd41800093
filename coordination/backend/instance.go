package backend

import (
	"cmp"
	"slices"
	"sync/atomic"
)

// Instance is one start of a back end process.
type Instance struct {
	// ID is unique over all starts; an address may be used again by another.
	ID      string
	Service string
	// Address is an IP number and port.
	Address string
	Zone    string
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

// load counts this node's requests at one instance. It outlives the sets.
type load struct {
	outstanding atomic.Int64
}

// set is an immutable collection of instances.
type set struct {
	services map[string][]*member
	byID     map[string]*member
}

func newSet(instances []Instance, previous *set) *set {
	next := &set{services: make(map[string][]*member), byID: make(map[string]*member, len(instances))}
	for _, instance := range instances {
		joined := &member{Instance: instance, load: previous.loadOf(instance.ID), hash: hashText(instance.ID)}
		next.byID[instance.ID] = joined
		next.services[instance.Service] = append(next.services[instance.Service], joined)
	}
	for _, members := range next.services {
		slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return next
}

// loadOf keeps the counter of an instance that was known before.
func (s *set) loadOf(id string) *load {
	if s != nil {
		if known, found := s.byID[id]; found {
			return known.load
		}
	}
	return &load{}
}
