// Package program is the state machine of a program tree's record: a root program and the
// sub-programs that share its budget. Every function takes the tree as it stands and
// changes it in place or leaves it as it was. None does I/O, reads a clock or draws a
// random number.
//
// The package owns the rules by which calls are admitted, replaced and finished, and how
// they use the budget. It relies on its caller to store the tree with a compare-and-swap
// (coordination/record), so that a function may run several times before one of its
// results is chosen. Moments are in milliseconds of Unix time, amounts in tokens.
package program

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/result"
)

// Bounds of the record, so that its size doesn't grow with a program's life.
const (
	// callWindow is how many calls a program keeps in full. Older ones stand in the
	// history and leave an eight-byte hash of their key.
	callWindow = 4
	// maxDroppedRefusals bounds the hashes of keys that a program keeps beyond its turn
	// limit: refused calls take no turn.
	maxDroppedRefusals = 256
	// maxChildren bounds the sub-programs of a tree.
	maxChildren = 256
	// DefaultTurnLimit is the turn limit of a program that names none.
	DefaultTurnLimit = 1000
)

// Specification describes a new tree.
type Specification struct {
	// Root is the id of the root program.
	Root         string
	Tenant       string
	Model        string
	Adapter      string
	BudgetTokens uint64
	Priority     uint32
	// IdleLimitMS is how long the tree may be silent, in milliseconds; zero for ever.
	IdleLimitMS int64
	// TurnLimit is the most turns of one program of the tree; zero takes
	// DefaultTurnLimit.
	TurnLimit     uint32
	CreatedUnixMS int64
}

// New makes the record of a new tree.
func New(specification Specification) *statev1.ProgramTree {
	turnLimit := specification.TurnLimit
	if turnLimit == 0 {
		turnLimit = DefaultTurnLimit
	}
	return &statev1.ProgramTree{
		Root:             specification.Root,
		Tenant:           specification.Tenant,
		Model:            specification.Model,
		Adapter:          specification.Adapter,
		Budget:           &statev1.Budget{Limit: specification.BudgetTokens},
		Programs:         []*statev1.Program{{Id: specification.Root, NextSequence: 1}},
		Priority:         specification.Priority,
		CreatedUnixMs:    specification.CreatedUnixMS,
		LastActiveUnixMs: specification.CreatedUnixMS,
		IdleLimitMs:      specification.IdleLimitMS,
		TurnLimit:        turnLimit,
	}
}

// RootOf returns the id of the root of the program's tree: the part of the program's id
// before the first dot.
func RootOf(id string) string {
	root, _, _ := strings.Cut(id, ".")
	return root
}

// Find returns the program of the tree with the id, or nil.
func Find(tree *statev1.ProgramTree, id string) *statev1.Program {
	for _, candidate := range tree.GetPrograms() {
		if candidate.GetId() == id {
			return candidate
		}
	}
	return nil
}

// FindCall returns the program's call with the sequence number, or nil where the record
// doesn't keep it.
func FindCall(target *statev1.Program, sequence uint64) *statev1.Call {
	for _, call := range target.GetCalls() {
		if call.GetSequence() == sequence {
			return call
		}
	}
	return nil
}

// Running returns the program's dispatched call, or nil. There is at most one:
// the calls of a program run one after the other.
func Running(target *statev1.Program) *statev1.Call {
	for _, call := range target.GetCalls() {
		if call.GetState() == statev1.CallState_CALL_STATE_DISPATCHED {
			return call
		}
	}
	return nil
}

// Access returns the program with the id if the tenant owns it, and a result.Error with
// UnknownProgram or ForeignProgram otherwise.
func Access(tree *statev1.ProgramTree, tenant, id string) (*statev1.Program, error) {
	target := Find(tree, id)
	if target == nil {
		return nil, result.Errorf(result.UnknownProgram, "no program %q", id)
	}
	if tree.GetTenant() != tenant {
		return nil, result.Errorf(result.ForeignProgram, "program %q belongs to another tenant", id)
	}
	return target, nil
}

func findKey(target *statev1.Program, key string) *statev1.Call {
	for _, call := range target.GetCalls() {
		if call.GetKey() == key {
			return call
		}
	}
	return nil
}

// refusedBit is the bit of a dropped key's hash that says that the call was refused: it
// was not run, and whoever asks again must be told so.
const refusedBit uint64 = 1

// droppedKey returns the hash that the call leaves in the record.
func droppedKey(call *statev1.Call) uint64 {
	hash := xxhash.Sum64String(call.GetKey()) &^ refusedBit
	if call.GetState() == statev1.CallState_CALL_STATE_REFUSED {
		hash |= refusedBit
	}
	return hash
}

// findDropped looks for the key among those of calls that the record no longer keeps.
func findDropped(target *statev1.Program, key string) (refused, found bool) {
	hash := xxhash.Sum64String(key) &^ refusedBit
	for _, dropped := range target.GetDroppedKeys() {
		if dropped&^refusedBit == hash {
			return dropped&refusedBit != 0, true
		}
	}
	return false, false
}

// trimCalls replaces final calls beyond callWindow by the hashes of their keys, the oldest
// first.
func trimCalls(tree *statev1.ProgramTree, target *statev1.Program) {
	limit := int(tree.GetTurnLimit()) + maxDroppedRefusals
	for len(target.Calls) > callWindow {
		index := firstFinal(target)
		if index < 0 {
			return
		}
		target.DroppedKeys = append(target.DroppedKeys, droppedKey(target.Calls[index]))
		target.Calls = append(target.Calls[:index], target.Calls[index+1:]...)
	}
	for len(target.DroppedKeys) > limit {
		target.DroppedKeys = forgetKey(target.DroppedKeys)
	}
}

// forgetKey removes the oldest key of a refused call. The turn limit bounds the others, whose
// calls may have run and would run again.
func forgetKey(dropped []uint64) []uint64 {
	index := slices.IndexFunc(dropped, func(key uint64) bool { return key&refusedBit != 0 })
	return slices.Delete(dropped, max(index, 0), max(index, 0)+1)
}

// firstFinal returns the index of the oldest call that has ended, or -1.
func firstFinal(target *statev1.Program) int {
	for index, call := range target.Calls {
		if call.GetState() != statev1.CallState_CALL_STATE_DISPATCHED {
			return index
		}
	}
	return -1
}

// available returns the tokens of the budget that are neither reserved nor spent.
func available(budget *statev1.Budget) uint64 {
	used := budget.GetReserved() + budget.GetSpent()
	if used >= budget.GetLimit() {
		return 0
	}
	return budget.GetLimit() - used
}

// settle gives the reserved tokens back and charges those that were spent.
func settle(budget *statev1.Budget, reserved, charged uint64) {
	budget.Reserved -= reserved
	budget.Spent += charged
}

// Affinity scores a node for a key by rendezvous hashing (D. G. Thaler, C. V. Ravishankar,
// 1998): the live node with the highest score looks after the key.
func Affinity(node, key string) uint64 { return xxhash.Sum64String(node + "\x00" + key) }
