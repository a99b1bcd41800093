package configuration

import (
	"maps"
	"slices"
)

// Snapshot is a valid configuration as a whole. It is immutable: what its
// methods return is shared and must not be changed. The nil Snapshot is empty
// at version 0.
type Snapshot struct {
	version uint64
	entries map[Key]entry
	// tenantByKey finds a tenant by the digest of an API key.
	tenantByKey map[string]*Tenant
	// engines are ordered by name.
	engines []*Engine
}

// entry is one object of a snapshot, as stored and typed.
type entry struct {
	object Object
	spec   Spec
}

// Version is the store-wide revision up to which the snapshot knows the store.
func (s *Snapshot) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.version
}

// Objects returns the objects newer than the version, ordered by key.
func (s *Snapshot) Objects(after uint64) []Object {
	var objects []Object
	if s == nil {
		return nil
	}
	for _, entry := range s.entries {
		if entry.object.Version > after {
			objects = append(objects, entry.object)
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return a.Key.compare(b.Key) })
	return objects
}

// Object returns one object as stored.
func (s *Snapshot) Object(key Key) (Object, bool) {
	if s == nil {
		return Object{}, false
	}
	found, exists := s.entries[key]
	return found.object, exists
}

// Tenant returns the tenant of the name.
func (s *Snapshot) Tenant(name string) (*Tenant, bool) { return find[*Tenant](s, KindTenant, name) }

// TenantByKey returns the tenant that has the API key of the SHA-256 digest, in
// lower case hexadecimal.
func (s *Snapshot) TenantByKey(digest string) (*Tenant, bool) {
	if s == nil {
		return nil, false
	}
	tenant, found := s.tenantByKey[digest]
	return tenant, found
}

// Model returns the model of the name.
func (s *Snapshot) Model(name string) (*Model, bool) { return find[*Model](s, KindModel, name) }

// Adapter returns the adapter of the name.
func (s *Snapshot) Adapter(name string) (*Adapter, bool) {
	return find[*Adapter](s, KindAdapter, name)
}

// Pool returns the pool of the name.
func (s *Snapshot) Pool(name string) (*Pool, bool) { return find[*Pool](s, KindPool, name) }

// Engine returns the engine of the name.
func (s *Snapshot) Engine(name string) (*Engine, bool) { return find[*Engine](s, KindEngine, name) }

// Node returns what operators ordered of the node.
func (s *Snapshot) Node(name string) (*Node, bool) { return find[*Node](s, KindNode, name) }

// Engines returns all engines, ordered by name.
func (s *Snapshot) Engines() []*Engine {
	if s == nil {
		return nil
	}
	return s.engines
}

// Tenants returns all tenants, ordered by name.
func (s *Snapshot) Tenants() []*Tenant { return all[*Tenant](s) }

// Models returns all models, ordered by name.
func (s *Snapshot) Models() []*Model { return all[*Model](s) }

// Adapters returns all adapters, ordered by name.
func (s *Snapshot) Adapters() []*Adapter { return all[*Adapter](s) }

// Pools returns all pools, ordered by name.
func (s *Snapshot) Pools() []*Pool { return all[*Pool](s) }

// Nodes returns what operators ordered of the nodes, ordered by name.
func (s *Snapshot) Nodes() []*Node { return all[*Node](s) }

// Weights returns the weights, or DefaultWeights.
func (s *Snapshot) Weights() Weights {
	weights, found := find[*Weights](s, KindWeights, SingletonName)
	if !found {
		return DefaultWeights()
	}
	return *weights
}

// Limits returns the limits, or DefaultLimits.
func (s *Snapshot) Limits() Limits {
	limits, found := find[*Limits](s, KindLimits, SingletonName)
	if !found {
		return DefaultLimits()
	}
	return *limits
}

// ShardMap returns the first shard map, once it has been created.
func (s *Snapshot) ShardMap() (*ShardMap, bool) {
	return find[*ShardMap](s, KindShardMap, SingletonName)
}

func (s *Snapshot) spec(key Key) Spec {
	if s == nil {
		return nil
	}
	return s.entries[key].spec
}

func find[T Spec](s *Snapshot, kind Kind, name string) (T, bool) {
	spec, found := s.spec(Key{Kind: kind, Name: name}).(T)
	return spec, found
}

// all collects the objects of one type, ordered by name.
func all[T Spec](s *Snapshot) []T {
	if s == nil {
		return nil
	}
	var keys []Key
	for key, entry := range s.entries {
		if _, is := entry.spec.(T); is {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, Key.compare)
	result := make([]T, len(keys))
	for index, key := range keys {
		result[index] = s.entries[key].spec.(T)
	}
	return result
}

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

// with builds the next snapshot without a check across objects.
func (s *Snapshot) with(version uint64, objects []Object) (*Snapshot, Faults) {
	next := &Snapshot{version: max(s.Version(), version), entries: make(map[Key]entry)}
	if s != nil {
		next.entries = maps.Clone(s.entries)
	}
	var faults Faults
	for _, object := range objects {
		faults = append(faults, next.put(object)...)
	}
	next.index()
	return next, faults
}

// put sets one object while the snapshot is being built.
func (s *Snapshot) put(object Object) Faults {
	if !object.Kind.Known() || object.Version < s.entries[object.Key].object.Version {
		return nil
	}
	if object.Deleted {
		delete(s.entries, object.Key)
		return nil
	}
	spec, err := Decode(object)
	if err != nil {
		return err.(Faults)
	}
	s.entries[object.Key] = entry{object: object, spec: spec}
	return nil
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
	keys := slices.SortedFunc(maps.Keys(s.entries), Key.compare)
	var faults Faults
	for _, key := range keys {
		entry := s.entries[key]
		c := &checker{object: entry.object}
		entry.spec.checkReferences(c, s)
		faults = append(faults, c.faults...)
	}
	return faults
}
