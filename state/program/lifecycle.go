package program

import (
	"fmt"
	"strings"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/result"
)

// Child adds a sub-program below the parent. For a creation key that was used before, it
// returns the sub-program of that time. The error is a result.Error.
func Child(tree *statev1.ProgramTree, tenant, parent, key string, nowUnixMS int64) (child *statev1.Program, changed bool, err error) {
	target, err := Access(tree, tenant, parent)
	if err != nil {
		return nil, false, err
	}
	if existing := findChild(tree, parent, key); existing != nil {
		return existing, false, nil
	}
	if target.GetEnded() {
		return nil, false, result.Errorf(result.ProgramEnded, "program %q has ended: %s", parent, target.GetEndReason())
	}
	if tree.GetChildren() >= maxChildren {
		return nil, false, result.Errorf(result.TurnLimit, "program %q has its %d sub-programs", tree.GetRoot(), maxChildren)
	}
	tree.Children++
	child = &statev1.Program{
		Id:           fmt.Sprintf("%s.%d", tree.GetRoot(), tree.GetChildren()),
		Parent:       parent,
		NextSequence: 1,
		CreationKey:  key,
	}
	tree.Programs = append(tree.Programs, child)
	tree.LastActiveUnixMs = nowUnixMS
	return child, true, nil
}

// findChild returns the sub-program that was made with the creation key, or nil.
func findChild(tree *statev1.ProgramTree, parent, key string) *statev1.Program {
	if key == "" {
		return nil
	}
	for _, candidate := range tree.GetPrograms() {
		if candidate.GetParent() == parent && candidate.GetCreationKey() == key {
			return candidate
		}
	}
	return nil
}

// End ends the program and its sub-programs. Their running calls end with ProgramStopped
// and are charged in full, since the engine may have spent the tokens. Changed is false
// where all had ended before.
func End(tree *statev1.ProgramTree, id, reason string, nowUnixMS int64) (changed bool) {
	for _, candidate := range tree.GetPrograms() {
		if candidate.GetEnded() || !descends(tree, candidate, id) {
			continue
		}
		endOne(tree, candidate, reason)
		changed = true
	}
	if changed {
		tree.LastActiveUnixMs = nowUnixMS
	}
	return changed
}

func endOne(tree *statev1.ProgramTree, target *statev1.Program, reason string) {
	target.Ended = true
	target.EndReason = reason
	if call := Running(target); call != nil {
		fail(tree, call, result.ProgramStopped, call.GetReserved())
	}
}

// descends reports whether the candidate is the ancestor or one of its sub-programs.
func descends(tree *statev1.ProgramTree, candidate *statev1.Program, ancestor string) bool {
	for candidate != nil {
		if candidate.GetId() == ancestor {
			return true
		}
		candidate = Find(tree, candidate.GetParent())
	}
	return false
}

// Ended reports whether the program with the id has ended. A program that the tree doesn't
// have counts as ended, since no engine needs to hold anything for it.
func Ended(tree *statev1.ProgramTree, id string) bool {
	target := Find(tree, id)
	return target == nil || target.GetEnded()
}

// ClearHold forgets the hold once the engine has confirmed its release.
func ClearHold(tree *statev1.ProgramTree, id, engine string) (changed bool) {
	kept := tree.Holds[:0:0]
	for _, hold := range tree.GetHolds() {
		if hold.GetProgram() == id && hold.GetEngine() == engine {
			changed = true
			continue
		}
		kept = append(kept, hold)
	}
	tree.Holds = kept
	return changed
}

// ReleasableHolds returns the holds of programs that have ended, and of other programs
// those at engines other than that of the newest call.
func ReleasableHolds(tree *statev1.ProgramTree) []*statev1.Hold {
	var releasable []*statev1.Hold
	for _, hold := range tree.GetHolds() {
		target := Find(tree, hold.GetProgram())
		if Ended(tree, hold.GetProgram()) || !inUse(target, hold.GetEngine()) {
			releasable = append(releasable, hold)
		}
	}
	return releasable
}

// inUse reports whether the program's newest admitted call named the engine.
func inUse(target *statev1.Program, engine string) bool {
	for index := len(target.GetCalls()) - 1; index >= 0; index-- {
		call := target.GetCalls()[index]
		if call.GetSequence() != 0 {
			return call.GetEngine() == engine
		}
	}
	return false
}

// addHold records that the engine may hold memory for the program; an empty engine is
// none.
func addHold(tree *statev1.ProgramTree, id, engine, address string) {
	if engine == "" {
		return
	}
	for _, hold := range tree.GetHolds() {
		if hold.GetProgram() == id && hold.GetEngine() == engine {
			hold.EngineAddress = address
			return
		}
	}
	tree.Holds = append(tree.Holds, &statev1.Hold{Program: id, Engine: engine, EngineAddress: address})
}

// Idle reports whether the tree has been silent for longer than its idle limit. A tree
// with a running call isn't idle.
func Idle(tree *statev1.ProgramTree, nowUnixMS int64) bool {
	if tree.GetIdleLimitMs() <= 0 || nowUnixMS-tree.GetLastActiveUnixMs() <= tree.GetIdleLimitMs() {
		return false
	}
	for _, candidate := range tree.GetPrograms() {
		if Running(candidate) != nil {
			return false
		}
	}
	return true
}

// Due reports whether the tree needs something that no caller asks for: it is past its
// idle limit, a running call is past its deadline, or a hold can be released.
func Due(tree *statev1.ProgramTree, nowUnixMS int64) bool {
	if len(ReleasableHolds(tree)) > 0 || idleAndOpen(tree, nowUnixMS) {
		return true
	}
	for _, candidate := range tree.GetPrograms() {
		if call := Running(candidate); call != nil && nowUnixMS > call.GetDeadlineUnixMs() {
			return true
		}
	}
	return false
}

func idleAndOpen(tree *statev1.ProgramTree, nowUnixMS int64) bool {
	return Idle(tree, nowUnixMS) && !Ended(tree, tree.GetRoot())
}

// ValidID reports whether the id can name a program. It has ASCII letters, digits, dashes
// and dots and at most maxIDLength bytes.
func ValidID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	return strings.IndexFunc(id, forbiddenInID) < 0
}

// maxIDLength is in bytes.
const maxIDLength = 128

func forbiddenInID(character rune) bool {
	switch {
	case character >= 'a' && character <= 'z', character >= 'A' && character <= 'Z':
		return false
	case character >= '0' && character <= '9', character == '-', character == '.':
		return false
	}
	return true
}

// Holds reports whether the record names the engine as one that may hold memory for the
// program.
func Holds(tree *statev1.ProgramTree, id, engine string) bool {
	for _, hold := range tree.GetHolds() {
		if hold.GetProgram() == id && hold.GetEngine() == engine {
			return true
		}
	}
	return false
}
