// Package record keeps program trees in quorum registers: one register for each tree,
// under the root program's id, in the shard that this id hashes to.
//
// It owns the encoding of a tree in its register and a small memory of trees seen
// lately. It relies on coordination/register for agreement and on state/program for the
// rules by which a tree changes.
package record

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/register"
)

// Register changes the value of a register by compare-and-swap;
// register.Client is one.
type Register interface {
	Apply(ctx context.Context, shard uint32, key string, change register.Change) ([]byte, error)
}

// Locator says which shard a root program's record is in.
type Locator func(root string) uint32

// Store reads and changes program trees. It is safe for concurrent use.
type Store struct {
	registers Register
	locate    Locator
	recent    *recentTrees
}

// NewStore makes a store that remembers up to recentLimit trees for Recent.
func NewStore(registers Register, locate Locator, recentLimit int) *Store {
	return &Store{registers: registers, locate: locate, recent: newRecentTrees(recentLimit)}
}

// Apply replaces the root's tree by the result of the change and returns it. The change
// gets a copy of its own, nil where no tree exists, and may be called several times. If
// it returns nil, the tree stays as it is. Errors are the change's own and those of
// register.Client.
func (s *Store) Apply(ctx context.Context, root string, change func(*statev1.ProgramTree) (*statev1.ProgramTree, error)) (*statev1.ProgramTree, error) {
	value, err := s.registers.Apply(ctx, s.locate(root), root, func(current []byte) ([]byte, error) {
		return changeEncoded(root, current, change)
	})
	if err != nil {
		return nil, err
	}
	tree, err := Decode(root, value)
	if err != nil {
		return nil, err
	}
	s.recent.put(root, tree)
	return tree, nil
}

// Recent returns the tree as this store saw it last, or nil. It may be out of date and
// must not be modified.
func (s *Store) Recent(root string) *statev1.ProgramTree { return s.recent.get(root) }

func changeEncoded(root string, current []byte, change func(*statev1.ProgramTree) (*statev1.ProgramTree, error)) ([]byte, error) {
	tree, err := Decode(root, current)
	if err != nil {
		return nil, err
	}
	next, err := change(tree)
	if err != nil {
		return nil, err
	}
	if next == nil {
		return current, nil
	}
	return encode(next)
}

// Decode reads the value of the root's register. It returns nil for a register that was
// never written, and an error for the record of another root.
func Decode(root string, value []byte) (*statev1.ProgramTree, error) {
	if len(value) == 0 {
		return nil, nil
	}
	tree := &statev1.ProgramTree{}
	if err := proto.Unmarshal(value, tree); err != nil {
		return nil, merry.Prependf(err, "decoding the record of program %q", root)
	}
	if tree.GetRoot() != root {
		return nil, merry.Errorf("the register of program %q holds the record of %q", root, tree.GetRoot())
	}
	return tree, nil
}

// encode is deterministic, so that the register recognises an unchanged tree as a read.
func encode(tree *statev1.ProgramTree) ([]byte, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(tree)
	if err != nil {
		return nil, merry.Prependf(err, "encoding the record of program %q", tree.GetRoot())
	}
	return value, nil
}

// recentTrees is a bounded map. When it is full, an arbitrary entry makes room.
type recentTrees struct {
	mutex sync.RWMutex
	limit int
	trees map[string]*statev1.ProgramTree
}

func newRecentTrees(limit int) *recentTrees {
	return &recentTrees{limit: limit, trees: make(map[string]*statev1.ProgramTree)}
}

func (r *recentTrees) get(root string) *statev1.ProgramTree {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.trees[root]
}

func (r *recentTrees) put(root string, tree *statev1.ProgramTree) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if tree == nil {
		return
	}
	if _, found := r.trees[root]; !found && len(r.trees) >= r.limit {
		r.evictOne()
	}
	r.trees[root] = tree
}

func (r *recentTrees) evictOne() {
	for root := range r.trees {
		delete(r.trees, root)
		return
	}
}
