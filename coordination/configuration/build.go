package configuration

import (
	"errors"
	"maps"
	"slices"
)

// maxRemovals is how many removals a snapshot remembers for its peers.
const maxRemovals = 1024

// Apply returns a new snapshot at the version with the objects put in or taken
// out. Objects of other kinds and objects that aren't newer than what the
// snapshot has are left out. The whole is checked: on an error, of type
// Faults, there is no new snapshot.
func (s *Snapshot) Apply(version uint64, objects []Object) (*Snapshot, error) {
	next, faults := s.with(version, objects)
	faults = append(faults, next.validate()...)
	if len(faults) > 0 {
		return nil, faults
	}
	return next, nil
}

// Validate checks every object among the others. A snapshot in force is valid;
// the error is of type Faults.
func (s *Snapshot) Validate() error {
	if faults := s.validate(); len(faults) > 0 {
		return faults
	}
	return nil
}

// at returns the snapshot at a newer version with the same content.
func (s *Snapshot) at(version uint64) *Snapshot {
	next := Snapshot{removedAfter: version}
	if s != nil {
		next = *s
	}
	next.version = max(next.version, version)
	return &next
}

// with builds the next snapshot without a check across objects. An object that
// can't be decoded is left out and reported.
func (s *Snapshot) with(version uint64, objects []Object) (*Snapshot, Faults) {
	next := s.at(version)
	next.entries = maps.Clone(next.entries)
	if next.entries == nil {
		next.entries = make(map[Key]entry)
	}
	// Appending must not write into the array of the snapshot before.
	next.removed = slices.Clip(next.removed)
	var faults Faults
	for _, object := range objects {
		faults = append(faults, next.put(object)...)
	}
	next.trimRemovals()
	next.index()
	return next, faults
}

// put sets one object while the snapshot is being built.
func (s *Snapshot) put(object Object) Faults {
	current, exists := s.entries[object.Key]
	if !object.Kind.Known() || object.Version < current.object.Version {
		return nil
	}
	if object.Deleted {
		delete(s.entries, object.Key)
		// Also where there was none here: a peer may have it.
		s.removed = append(s.removed, removal{object: object, since: s.version})
		return nil
	}
	if exists && object.Version == current.object.Version {
		return nil
	}
	spec, err := Decode(object)
	var faults Faults
	if errors.As(err, &faults) {
		return faults
	}
	s.entries[object.Key] = entry{object: object, spec: spec, since: s.version}
	return nil
}

func (s *Snapshot) trimRemovals() {
	surplus := len(s.removed) - maxRemovals
	if surplus <= 0 {
		return
	}
	s.removedAfter = s.removed[surplus-1].since
	s.removed = slices.Clone(s.removed[surplus:])
}

// forgetRemovals is for a snapshot that was reached past changes this node
// hasn't seen: an object may have come and gone among them, so that older peers
// need everything.
func (s *Snapshot) forgetRemovals() {
	s.removed = nil
	s.removedAfter = s.version
}

// index fills in what is derived from the entries.
func (s *Snapshot) index() {
	s.tenantByKey = make(map[string]*Tenant)
	for _, tenant := range s.Tenants() {
		for _, digest := range tenant.APIKeySHA256 {
			s.addTenantKey(digest, tenant)
		}
	}
	s.engines = all[*Engine](s)
}

// addTenantKey gives a key that two tenants claim to the one written first, so
// that the later one is found at fault.
func (s *Snapshot) addTenantKey(digest string, tenant *Tenant) {
	owner, taken := s.tenantByKey[digest]
	if taken && s.tenantVersion(owner) <= s.tenantVersion(tenant) {
		return
	}
	s.tenantByKey[digest] = tenant
}

func (s *Snapshot) tenantVersion(tenant *Tenant) uint64 {
	return s.entries[Key{Kind: KindTenant, Name: tenant.Name}].object.Version
}

// validate checks every object among the others, in order of key.
func (s *Snapshot) validate() Faults {
	if s == nil {
		return nil
	}
	var faults Faults
	for _, entry := range s.entries {
		c := &checker{object: entry.object}
		entry.spec.checkReferences(c, s)
		faults = append(faults, c.faults...)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return a.Key.compare(b.Key) })
	return faults
}
