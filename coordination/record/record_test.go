package record_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/record"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/program"
)

// memoryRegisters is an in-memory replacement for replicated registers, by key.
type memoryRegisters map[string][]byte

func (r memoryRegisters) Apply(_ context.Context, _ uint32, key string, change register.Change) ([]byte, error) {
	next, err := change(r[key])
	if err != nil {
		return nil, err
	}
	r[key] = next
	return next, nil
}

func shardZero(string) uint32 { return 0 }

func newTree(root string) *statev1.ProgramTree {
	return program.New(program.Specification{Root: root, Tenant: "tenant", BudgetTokens: 10})
}

func TestApplyCachesRecentTrees(t *testing.T) {
	registers := memoryRegisters{}
	store := record.NewStore(registers, shardZero, 2)
	for _, root := range []string{"p-1", "p-2", "p-3"} {
		_, err := store.Apply(t.Context(), root, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
			assert.Assert(t, tree == nil)
			return newTree(root), nil
		})
		assert.NilError(t, err)
	}
	cached := 0
	for _, root := range []string{"p-1", "p-2", "p-3"} {
		if store.Recent(root) != nil {
			cached++
		}
	}
	assert.Equal(t, cached, 2)
}

func TestApplyRejectsInvalidRecord(t *testing.T) {
	registers := memoryRegisters{}
	store := record.NewStore(registers, shardZero, 2)
	_, err := store.Apply(t.Context(), "p-1", func(*statev1.ProgramTree) (*statev1.ProgramTree, error) { return newTree("p-1"), nil })
	assert.NilError(t, err)
	registers["p-2"] = registers["p-1"]
	_, err = store.Apply(t.Context(), "p-2", func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) { return tree, nil })
	assert.ErrorContains(t, err, `holds the record of "p-1"`)
	registers["p-3"] = []byte("no protobuf")
	_, err = store.Apply(t.Context(), "p-3", func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) { return tree, nil })
	assert.ErrorContains(t, err, "decoding")
}

func TestApplyKeepsRecordOnChangeError(t *testing.T) {
	registers := memoryRegisters{}
	store := record.NewStore(registers, shardZero, 2)
	refused := errors.New("refused")
	_, err := store.Apply(t.Context(), "p-1", func(*statev1.ProgramTree) (*statev1.ProgramTree, error) { return nil, refused })
	assert.ErrorIs(t, err, refused)
	assert.Equal(t, len(registers), 0)
}

func Example() {
	store := record.NewStore(memoryRegisters{}, shardZero, 100)
	tree, err := store.Apply(context.Background(), "p-1", func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		if tree == nil {
			tree = newTree("p-1")
		}
		return tree, nil
	})
	fmt.Println(tree.GetRoot(), tree.GetBudget().GetLimit(), err)
	// Output: p-1 10 <nil>
}
