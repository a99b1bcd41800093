package configuration

import (
	"cmp"
	"encoding/json"
	"slices"
)

// Kind names a type of object.
type Kind string

// Kinds of configuration objects. Objects of other kinds are ignored.
const (
	KindTenant   Kind = "tenant"
	KindModel    Kind = "model"
	KindAdapter  Kind = "adapter"
	KindPool     Kind = "pool"
	KindEngine   Kind = "engine"
	KindNode     Kind = "node"
	KindWeights  Kind = "weights"
	KindLimits   Kind = "limits"
	KindShardMap Kind = "shard_map"
)

// SingletonName is the name of the one object of the kinds weights, limits and
// shard_map.
const SingletonName = "default"

// Kinds returns the kinds of configuration objects in a fixed order.
func Kinds() []Kind {
	return []Kind{
		KindTenant, KindModel, KindAdapter, KindPool, KindEngine, KindNode,
		KindWeights, KindLimits, KindShardMap,
	}
}

// Known tells whether the kind is one of configuration.
func (k Kind) Known() bool { return slices.Contains(Kinds(), k) }

// Singleton tells whether the kind has only one object, SingletonName.
func (k Kind) Singleton() bool {
	return k == KindWeights || k == KindLimits || k == KindShardMap
}

// Key names one object.
type Key struct {
	Kind Kind
	Name string
}

// String gives "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// Object is one stored object as it travels: its body is JSON, not yet checked.
type Object struct {
	Key
	// Version is the store-wide revision of the object's last write.
	Version uint64
	Body    json.RawMessage
	// Deleted marks a removal at Version.
	Deleted bool
}
