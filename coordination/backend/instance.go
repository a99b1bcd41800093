package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// Instance is a backend process.
type Instance struct {
	// ID is unique among all instances, while an address may be reused.
	ID string
	// Started is the start time of the process by its own clock; zero if unknown. A
	// restarted instance may keep its ID, see Incarnation.
	Started time.Time
	Service string
	// Version is the version of the instance's software; empty if unknown. Versions have no
	// order.
	Version string
	// Address is an IP address and port.
	Address string
	// Zone is the failure domain of the instance.
	Zone string
	// Capacity is the number of requests that it processes at once.
	Capacity int
	// Leaving instances get no new requests.
	Leaving bool
}

// member is an instance with the state that this node keeps about it.
type member struct {
	Instance
	load *load
	// hash is the hash of the ID, for rendezvous weights.
	hash uint64
}

// candidate returns the member as a candidate for a request; key is the hash of its key.
func (m *member) candidate(key uint64) candidate {
	return candidate{member: m, weight: fmix64(m.hash ^ key), outstanding: m.load.outstanding.Load()}
}

// snapshot is an immutable collection of instances.
type snapshot struct {
	services map[string]*service
	byID     map[string]*member
}

// service holds the instances of one service. Its health is carried from one snapshot to
// the next.
type service struct {
	members []*member
	// versions are the distinct software versions of the members, sorted.
	versions []string
	health   *serviceHealth
}

func newSnapshot(instances []Instance, previous *snapshot, policy limit.EjectionPolicy) *snapshot {
	next := &snapshot{services: make(map[string]*service), byID: make(map[string]*member, len(instances))}
	for _, instance := range instances {
		added := &member{Instance: instance, load: previous.loadFor(instance), hash: hashString(instance.ID)}
		next.byID[instance.ID] = added
		svc := next.services[instance.Service]
		if svc == nil {
			svc = &service{health: previous.healthFor(instance.Service, policy)}
			next.services[instance.Service] = svc
		}
		svc.members = append(svc.members, added)
		svc.health.ejector.Add(instance.ID)
	}
	for _, svc := range next.services {
		slices.SortFunc(svc.members, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
		svc.versions = versionsOf(svc.members)
	}
	return next
}

func versionsOf(members []*member) []string {
	versions := make([]string, 0, 1)
	for _, m := range members {
		if !slices.Contains(versions, m.Version) {
			versions = append(versions, m.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// healthFor returns the health of the service from the snapshot, or a new one.
func (s *snapshot) healthFor(name string, policy limit.EjectionPolicy) *serviceHealth {
	if s != nil {
		if known, found := s.services[name]; found {
			return known.health
		}
	}
	return newServiceHealth(policy)
}

// loadFor returns the load of the instance's incarnation from the snapshot, or a new one.
// A process keeps its software version, so another version means another incarnation.
func (s *snapshot) loadFor(instance Instance) *load {
	if s != nil {
		known, found := s.byID[instance.ID]
		if found && known.Incarnation().isSame(instance.Incarnation()) && known.Version == instance.Version {
			return known.load
		}
	}
	return &load{}
}
