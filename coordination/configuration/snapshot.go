package configuration

import "slices"

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
	// removed are the newest removals, oldest first.
	removed []removal
	// removedAfter is the version after which removed misses none.
	removedAfter uint64
}

// entry is one object of a snapshot, as stored and typed.
type entry struct {
	object Object
	spec   Spec
	// since is the version of the snapshot that first had this state. It can be
	// greater than the object's own version.
	since uint64
}

// removal is an object that was taken out.
type removal struct {
	object Object
	since  uint64
}

// Version is the store-wide revision whose configuration the snapshot is. Of
// revisions between which no configuration changed it may be any.
func (s *Snapshot) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.version
}

// Objects returns the objects that changed after the version, ordered by key;
// all where it is 0.
func (s *Snapshot) Objects(after uint64) []Object {
	if s == nil {
		return nil
	}
	var objects []Object
	for _, entry := range s.entries {
		if entry.since > after {
			objects = append(objects, entry.object)
		}
	}
	sortByKey(objects)
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

func sortByKey(objects []Object) {
	slices.SortFunc(objects, func(a, b Object) int { return a.Key.compare(b.Key) })
}
