// Package directory keeps, in the platform's store, which storage nodes there are and
// which replica sets they form, so that nodes find them.
//
// The store decides only who founds the first sets, by a conditional write. Later sets
// are decided by their members (package shard); what the store has of them may be old.
// Plan decides without I/O what a storage node writes; Keeper does it. Lookup is every
// node's map of the sets.
//
// The package owns the objects of KindNodes and KindSets. It relies on followers
// (package follow) for what the store has.
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

// Objects reads and writes objects of the store. After an error other than ErrExists and
// ErrConflict a write may have been done, or may be done later.
type Objects interface {
	// Create makes an object, or returns ErrExists.
	Create(ctx context.Context, kind, name string, spec []byte) error
	// Replace changes an object that has the revision, or returns ErrConflict.
	Replace(ctx context.Context, kind, name string, spec []byte, revision int64) error
	// List returns every object of the kind, as the store has them now.
	List(ctx context.Context, kind string) (follow.Snapshot, error)
}

// Node is what a storage node announces of itself.
type Node struct {
	Member register.Member `json:"member"`
}

// Sets are the replica sets of all shards.
type Sets struct {
	// Shards is the number of shards, which never changes.
	Shards uint32          `json:"shards"`
	Views  []register.View `json:"views"`
}

// PublishedSets are the sets as they stand in the store.
type PublishedSets struct {
	Sets     Sets
	Revision int64
}

// DecodeNodes reads the announced storage nodes, and the revisions of all objects by
// name. An object that can't be read names no node; its revision is returned, so that
// the node of that name can replace it.
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
func DecodeSets(snapshot follow.Snapshot) (published PublishedSets, found bool, err error) {
	for _, object := range snapshot.Objects {
		if object.Name != SetsName {
			continue
		}
		published.Revision = object.Revision
		if err := json.Unmarshal(object.Spec, &published.Sets); err != nil {
			return PublishedSets{}, true, merry.Prepend(err, "decoding the replica sets")
		}
		if published.Sets.Shards == 0 {
			return PublishedSets{}, true, merry.New("the replica sets have no shard")
		}
		return published, true, nil
	}
	return PublishedSets{}, false, nil
}
