// Package record stores program trees in quorum registers: one register for each tree,
// with the root program's id as its key, in the shard that the id hashes to.
//
// It encodes the trees and caches recently used ones. coordination/register provides
// consensus, and state/program the rules by which a tree changes.
package record

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/register"
)

// Register changes the value of a register by compare-and-swap. register.Client
// implements it.
type Register interface {
	Apply(ctx context.Context, shard uint32, key string, change register.Change) ([]byte, error)
}

// Locator returns the shard that holds the record of a root program.
type Locator func(root string) uint32

// Store reads and changes program trees. It is safe for concurrent use.
type Store struct {
	registers Register
	locate    Locator
	recent    *recentTrees
}

// NewStore returns a store that caches up to recentLimit trees for Recent.
func NewStore(registers Register, locate Locator, recentLimit int) *Store {
	return &Store{registers: registers, locate: locate, recent: newRecentTrees(recentLimit)}
}

// Apply replaces the root's tree with the result of change and returns the new tree.
// change gets its own copy, or nil if no tree exists, and may be called several times.
// If it returns nil, the tree is left unchanged. Apply returns the errors of change and
// of the register.
func (s *Store) Apply(ctx context.Context, root string, change func(*statev1.ProgramTree) (*statev1.ProgramTree, error)) (*statev1.ProgramTree, error) {
	value, err := s.registers.Apply(ctx, s.locate(root), root, func(current []byte) ([]byte, error) {
		return applyToEncoded(root, current, change)
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

// Recent returns the cached tree, or nil. It may be out of date and must not be
// modified.
func (s *Store) Recent(root string) *statev1.ProgramTree { return s.recent.get(root) }

func applyToEncoded(root string, current []byte, change func(*statev1.ProgramTree) (*statev1.ProgramTree, error)) ([]byte, error) {
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

// Decode decodes the value of the root's register. It returns nil for an empty register
// and an error for the record of another root.
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

// encode is deterministic, so that the register can treat a change that leaves the tree
// as it is as a read.
func encode(tree *statev1.ProgramTree) ([]byte, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(tree)
	if err != nil {
		return nil, merry.Prependf(err, "encoding the record of program %q", tree.GetRoot())
	}
	return value, nil
}

// recentTrees is a bounded cache that evicts an arbitrary entry when it is full.
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
