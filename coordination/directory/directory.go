// Package directory keeps, in a store that all nodes reach, which storage nodes
// there are and which replica sets they form. The store decides nothing but who
// founds the first sets; later ones are decided by their members, and what is
// kept here of them lets nodes find them.
package directory

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/register"
)

// Kinds of objects, and the name of the only object of KindSets.
const (
	KindNodes = "storage-nodes"
	KindSets  = "replica-sets"
	SetsName  = "main"
)

var (
	// ErrExists means that the object to be created is there.
	ErrExists = errors.New("the object exists")
	// ErrConflict means that the object has changed, or is gone.
	ErrConflict = errors.New("the object has another revision")
)

// Objects reads and writes objects. An error other than the two above says nothing about
// whether the write was done, or will be.
type Objects interface {
	// Create makes an object, or returns ErrExists.
	Create(ctx context.Context, kind, name string, spec []byte) error
	// Replace changes an object that has the revision, or returns ErrConflict.
	Replace(ctx context.Context, kind, name string, spec []byte, revision int64) error
	// List returns every object of the kind, as the store has them now.
	List(ctx context.Context, kind string) (follow.Snapshot, error)
}

// Node is what a storage node says of itself.
type Node struct {
	Member register.Member `json:"member"`
}

// Sets are the replica sets of all shards.
type Sets struct {
	// Shards is how many there are; it never changes.
	Shards uint32          `json:"shards"`
	Views  []register.View `json:"views"`
}

// Published are the sets as they stand in the store.
type Published struct {
	Sets     Sets
	Revision int64
}

// DecodeNodes reads the storage nodes, and their objects' revisions by name.
// Objects that can't be read are left out.
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

// DecodeSets finds the sets; found is false before they were founded.
func DecodeSets(snapshot follow.Snapshot) (published Published, found bool, err error) {
	for _, object := range snapshot.Objects {
		if object.Name != SetsName {
			continue
		}
		published.Revision = object.Revision
		if err := json.Unmarshal(object.Spec, &published.Sets); err != nil {
			return Published{}, true, merry.Prepend(err, "decoding the replica sets")
		}
		if published.Sets.Shards == 0 {
			return Published{}, true, merry.New("the replica sets have no shard")
		}
		return published, true, nil
	}
	return Published{}, false, nil
}
