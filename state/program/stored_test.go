package program_test

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/result"
)

// livedTree is a record after a life in which every field was set: calls that
// finished, failed and were refused, some of which the record no longer keeps, a
// sub-program that has ended, and a call under way.
func livedTree(t *testing.T) *statev1.ProgramTree {
	t.Helper()
	tree := program.New(program.Specification{
		Root: "p-1", Tenant: "shop", Model: "m", Adapter: "a", BudgetTokens: 1000, Priority: 2,
		IdleLimitMS: 60_000, TurnLimit: 50, CreatedUnixMS: 1_700_000_000_000,
	})
	child, _, err := program.Child(tree, "shop", "p-1", "child", 1_700_000_000_100)
	assert.NilError(t, err)
	livedCall(t, tree, child.GetId(), "under way")
	program.End(tree, child.GetId(), "done", 1_700_000_000_200)
	for number := range uint64(4) {
		call := livedCall(t, tree, "p-1", fmt.Sprint("key ", number))
		reference := program.AttemptReference{Program: "p-1", Sequence: call.GetSequence(), Attempt: call.GetAttempt()}
		program.Finish(tree, reference, program.Completion{
			TurnDigest: []byte{byte(number), 1}, PromptTokens: 10 + number, OutputTokens: 5, NowUnixMS: 1_700_000_002_000,
		})
	}
	refusal := result.Errorf(result.NoEngine, "no engine")
	_, err = program.Refuse(tree, program.AdmitRequest{Program: "p-1", Tenant: "shop", Key: "refused"}, refusal)
	assert.NilError(t, err)
	failed := livedCall(t, tree, "p-1", "failed")
	reference := program.AttemptReference{Program: "p-1", Sequence: failed.GetSequence(), Attempt: failed.GetAttempt()}
	program.Fail(tree, reference, result.EngineFailed, true)
	for number := range 4 {
		livedCall(t, tree, "p-1", fmt.Sprint("late ", number))
		last := program.Running(program.Find(tree, "p-1"))
		if number < 3 {
			program.Fail(tree, program.AttemptReference{Program: "p-1", Sequence: last.GetSequence(), Attempt: 1}, result.EngineFailed, false)
		}
	}
	last := program.Running(program.Find(tree, "p-1"))
	program.Replace(tree, program.AttemptReference{Program: "p-1", Sequence: last.GetSequence(), Attempt: 1},
		program.Replacement{Executor: "n-2/a", ExecutorAddress: "10.0.0.5:7000", Engine: "e-2", EngineAddress: "10.0.0.6:8000", MaxAttempts: 3, NowUnixMS: 1_700_000_003_000})
	return tree
}

func livedCall(t *testing.T, tree *statev1.ProgramTree, id, key string) *statev1.Call {
	t.Helper()
	return mustAdmit(t, tree, program.AdmitRequest{
		Program: id, Tenant: "shop", Key: key, RequestDigest: []byte(key), Repeatable: true, NewTokens: 12, OutputTokens: 30,
		Executor: "n-1/a", ExecutorAddress: "10.0.0.2:7000", Engine: "e-1", EngineAddress: "10.0.0.3:8000",
		DeadlineUnixMS: 1_700_000_010_000, NowUnixMS: 1_700_000_001_000,
	}).Call
}

// TestStoredTree pins the bytes of a record and that it is read from them in full.
func TestStoredTree(t *testing.T) {
	tree := livedTree(t)
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(tree)
	assert.NilError(t, err)
	golden.Assert(t, hex.EncodeToString(encoded)+"\n", "tree.golden")
	decoded := &statev1.ProgramTree{}
	assert.NilError(t, proto.Unmarshal(encoded, decoded))
	assert.Assert(t, proto.Equal(decoded, tree))
}

// TestStoredHashes pins what nodes compute of names and have to agree on: the keys of
// calls that the record no longer keeps, and the node that looks after a program.
func TestStoredHashes(t *testing.T) {
	var text strings.Builder
	for _, dropped := range program.Find(livedTree(t), "p-1").GetDroppedKeys() {
		fmt.Fprintf(&text, "dropped %016x\n", dropped)
	}
	for _, key := range []string{"p-1", "p-1.3"} {
		fmt.Fprintf(&text, "affinity of n-1 for %s %016x, root %s\n", key, program.Affinity("n-1", key), program.RootOf(key))
	}
	golden.Assert(t, text.String(), "hashes.golden")
}
