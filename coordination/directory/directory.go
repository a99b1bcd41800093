// Package directory maintains a service directory in the platform's store: the storage
// nodes and the replica sets that they form.
//
// The store only decides which node creates the initial sets, by a conditional write.
// Members of a set decide its later changes (package shard), so the sets in the store may
// be outdated. Plan decides without I/O what a storage node writes, Writer writes it, and
// Lookup is each node's local copy of the sets.
//
// The package owns the objects of KindNodes and KindSets, and reads them through
// followers (package follow).
package directory

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/register"
)

// Kinds of objects, and the name of the single object of KindSets.
const (
	KindNodes = "storage-nodes"
	KindSets  = "replica-sets"
	SetsName  = "main"
)

var (
	// ErrExists means that the object to be created already exists.
	ErrExists = errors.New("object already exists")
	// ErrConflict means that the object was changed or deleted.
	ErrConflict = errors.New("object was changed or deleted")
)

// Objects reads and writes objects of the store. After an error other than ErrExists and
// ErrConflict, a write may have taken effect or may still do so later.
type Objects interface {
	// Create creates an object. It returns ErrExists if there is one of that name.
	Create(ctx context.Context, kind, name string, spec []byte) error
	// Replace replaces an object. It returns ErrConflict if its revision differs.
	Replace(ctx context.Context, kind, name string, spec []byte, revision int64) error
	// List returns the current objects of the kind.
	List(ctx context.Context, kind string) (follow.Snapshot, error)
}

// Node is the stored announcement of a storage node.
type Node struct {
	Member register.Member `json:"member"`
}

// Sets holds the replica sets of all shards.
type Sets struct {
	// Shards is the number of shards. It never changes.
	Shards uint32          `json:"shards"`
	Views  []register.View `json:"views"`
}

// PublishedSets holds the sets in the store and the revision of their object.
type PublishedSets struct {
	Sets     Sets
	Revision int64
}

// DecodeNodes returns the announced storage nodes, and the revisions of all objects by
// name. An invalid object yields no node, but its revision is returned, so that the node
// of that name can replace it.
func DecodeNodes(snapshot follow.Snapshot) (nodes []register.Member, revisions map[string]int64) {
	revisions = make(map[string]int64, len(snapshot.Objects))
	for _, object := range snapshot.Objects {
		revisions[object.Name] = object.Revision
		var node Node
		if json.Unmarshal(object.Spec, &node) == nil && node.Member.Node == object.Name {
			nodes = append(nodes, node.Member)
		}
	}
	return nodes, revisions
}

// DecodeSets returns the replica sets; found is false before they were created.
func DecodeSets(snapshot follow.Snapshot) (published PublishedSets, found bool, err error) {
	for _, object := range snapshot.Objects {
		if object.Name != SetsName {
			continue
		}
		published.Revision = object.Revision
		if err := json.Unmarshal(object.Spec, &published.Sets); err != nil {
			return PublishedSets{}, true, merry.Prepend(err, "decode replica sets")
		}
		if published.Sets.Shards == 0 {
			return PublishedSets{}, true, merry.New("replica sets have no shards")
		}
		return published, true, nil
	}
	return PublishedSets{}, false, nil
}
