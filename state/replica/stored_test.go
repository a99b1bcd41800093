package replica_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/budget"
	"github.com/marblering/marblering/state/history"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/state/turn"
)

// format1Folder is a data folder of format version 1. It must not change, since newer
// programs have to read the data of older ones. Add another folder for a newer format.
const format1Folder = "testdata/format1"

// Reserved shard numbers, under which a node stores values of its own.
const (
	nodeShard   uint32 = math.MaxUint32
	mirrorShard uint32 = math.MaxUint32 - 1
	countShard  uint32 = math.MaxUint32 - 2
)

// sampleShards are the shards of the sample data.
var sampleShards = []uint32{0, 1, 2, countShard, mirrorShard, nodeShard}

// sampleMeta holds the meta values of the sample data by shard and name.
var sampleMeta = map[uint32]map[string]string{
	nodeShard: {
		"shard-0": `{"View":{"Shard":0,"Epoch":2,"Members":[{"Node":"s-1","Incarnation":"s-1/a","Address":"10.0.0.1:7000","Zone":"z-1"}]},` +
			`"Previous":{"Shard":0,"Epoch":1,"Members":null},"Opened":{"Shard":0,"Epoch":2,"Members":null},"DataEpoch":2}`,
		"configuration-version": string(binary.BigEndian.AppendUint64(nil, 41)),
	},
	mirrorShard: {"mirror-instances": `{"Objects":[{"Name":"i-1","Revision":7,"Spec":"e30=","Status":null}],"At":9}`},
	countShard:  {"shard-count": string(binary.BigEndian.AppendUint32(nil, 3))},
}

// writeSample writes values of every kind that a replica stores, each in a separate
// transaction.
func writeSample(t *testing.T, store replica.Store) {
	t.Helper()
	promised := replica.Ballot{Counter: 300, Proposer: "g-1/b"}
	accepted := replica.Ballot{Counter: 299, Proposer: "g-2/a"}
	registers := []struct {
		shard uint32
		key   string
		state replica.Register
	}{
		{0, "p-1", replica.Register{Promised: promised, Accepted: accepted, Value: sampleTree(t)}},
		{0, "\nquota", replica.Register{Promised: accepted, Accepted: accepted, Value: []byte(`{"Holder":"s-1/a","Node":"s-1","Term":3,"Renewal":17}`)}},
		{0, "!successor-1", replica.Register{Promised: accepted, Accepted: replica.Ballot{Proposer: "s-1/a"}, Value: []byte(`{"Shard":0,"Epoch":2,"Members":null}`)}},
		{1, "conversation", replica.Register{Promised: promised, Accepted: promised, Value: sampleBudget(t)}},
		{1, "only promised", replica.Register{Promised: promised}},
	}
	for _, sample := range registers {
		assert.NilError(t, store.SaveRegister(sample.shard, sample.key, sample.state))
	}
	for _, shard := range sampleShards {
		for _, name := range []string{"shard-0", "configuration-version", "mirror-instances", "shard-count"} {
			if value, found := sampleMeta[shard][name]; found {
				assert.NilError(t, store.SaveMeta(shard, name, []byte(value)))
			}
		}
	}
	for _, sample := range sampleTurns(t) {
		assert.NilError(t, store.PutTurn(sample.shard, sample.turn))
	}
	writeAndRemove(t, store)
}

// writeAndRemove writes values and removes them again.
func writeAndRemove(t *testing.T, store replica.Store) {
	t.Helper()
	assert.NilError(t, store.SaveMeta(2, "removed", []byte("x")))
	assert.NilError(t, store.SaveMeta(2, "removed", nil))
	assert.NilError(t, store.PutTurn(1, replica.Turn{Program: "ended", Sequence: 1, Object: []byte("x")}))
	assert.NilError(t, store.DeleteTurns(1, "ended"))
	assert.NilError(t, store.SaveRegister(2, "dropped", replica.Register{Promised: replica.Ballot{Counter: 1, Proposer: "g-1/b"}}))
	assert.NilError(t, store.DropShard(2))
}

func sampleTree(t *testing.T) []byte {
	t.Helper()
	tree := program.New(program.Specification{
		Root: "p-1", Tenant: "shop", Model: "m", Adapter: "a", BudgetTokens: 1000, Priority: 2, IdleLimitMS: 60_000, CreatedUnixMS: 1_700_000_000_000,
	})
	_, err := program.Admit(tree, program.AdmitRequest{
		Program: "p-1", Tenant: "shop", Key: "k", RequestDigest: []byte{1, 2}, Repeatable: true, NewTokens: 12, OutputTokens: 30,
		Executor: "n-1/a", ExecutorAddress: "10.0.0.2:7000", Engine: "e-1", EngineAddress: "10.0.0.3:8000",
		DeadlineUnixMS: 1_700_000_010_000, NowUnixMS: 1_700_000_001_000,
	})
	assert.NilError(t, err)
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(tree)
	assert.NilError(t, err)
	return value
}

func sampleBudget(t *testing.T) []byte {
	t.Helper()
	record := &statev1.TokenBudget{Program: "conversation"}
	assert.NilError(t, budget.Reserve(record, 5000, budget.ReserveRequest{Holder: "s-1/a", Spent: 40, Running: 200, TurnTokens: 100}))
	assert.NilError(t, budget.Reserve(record, 5000, budget.ReserveRequest{Holder: "s-2/a", Spent: 7, TurnTokens: 100}))
	budget.Release(record, "s-2/a", 9)
	value, err := budget.Encode(record)
	assert.NilError(t, err)
	return value
}

type shardTurn struct {
	shard uint32
	turn  replica.Turn
}

// sampleTurns returns retained turns, turns of a history, two of which have the same
// sequence, and a turn without an object.
func sampleTurns(t *testing.T) []shardTurn {
	t.Helper()
	codec, err := turn.NewCodec()
	assert.NilError(t, err)
	var turns []shardTurn
	for _, retained := range []*statev1.RetainedTurn{
		{Id: "r-1", Input: []byte(`{"messages":[]}`), Output: []byte("{}\n"), RetentionMs: 60_000, Tenant: "shop"},
		{Id: "r-2", Ancestors: []string{"r-1"}, Input: bytes.Repeat([]byte("again "), 100), Output: []byte("[DONE]\n"), RetentionMs: 60_000},
	} {
		object, digest, err := codec.Encode(retained)
		assert.NilError(t, err)
		turns = append(turns, shardTurn{1, replica.Turn{Program: retained.GetId(), Sequence: 1, Digest: digest, Object: object}})
	}
	var previous []byte
	for _, stored := range []*statev1.Turn{
		{Program: "p-1", Sequence: 1, Messages: []byte(`[{"role":"user","content":"q"}]`), Answer: []byte(`{"role":"assistant","content":"a"}`)},
		{Program: "p-1", Sequence: 258, Messages: []byte(`[]`), Answer: bytes.Repeat([]byte("b"), 200), Key: "k", Engine: "e-1"},
		{Program: "p-1", Sequence: 258, Messages: []byte(`[]`), Answer: []byte(`{}`), Key: "k", Engine: "e-2"},
	} {
		stored.Previous = previous
		object, digest, err := history.Encode(stored)
		assert.NilError(t, err)
		turns = append(turns, shardTurn{0, replica.Turn{Program: stored.GetProgram(), Sequence: stored.GetSequence(), Digest: digest, Object: object}})
		if previous == nil {
			previous = history.Digest(digest).Bytes()
		}
	}
	return append(turns, shardTurn{0, replica.Turn{Program: "p-1.1", Sequence: 1, Digest: [32]byte{1}}})
}

// fixedRandom returns the random source for the incarnation of the sample data.
func fixedRandom() *bytes.Reader { return bytes.NewReader([]byte("0123456789abcdef")) }

// TestDataFileEntries guards against changes of the stored bytes: the entries of
// format1Folder and those of a newly written data file must match the golden file.
func TestDataFileEntries(t *testing.T) {
	golden.Assert(t, fileEntries(t, copyFolder(t, format1Folder)), "format1.entries.golden")
	folder := t.TempDir()
	disk, err := replica.OpenDiskWithRandom(folder, fixedRandom())
	assert.NilError(t, err)
	writeSample(t, disk)
	assert.NilError(t, disk.Close())
	golden.Assert(t, fileEntries(t, folder), "format1.entries.golden")
}

// TestFormat1FolderIsReadable checks that every reading method returns the same from
// format1Folder as from a memory store with the same values.
func TestFormat1FolderIsReadable(t *testing.T) {
	disk, err := replica.OpenDisk(copyFolder(t, format1Folder))
	assert.NilError(t, err)
	defer disk.Close()
	assert.NilError(t, disk.Corruption())
	assert.Equal(t, disk.Incarnation(), "30313233343536373839616263646566")
	golden.Assert(t, dumpSample(t, disk), "format1.contents.golden")
	memory := replica.NewMemory()
	writeSample(t, memory)
	golden.Assert(t, dumpSample(t, memory), "format1.contents.golden")
}

// TestFormat1TurnsAreDecodable decodes the objects of turns in format1Folder.
func TestFormat1TurnsAreDecodable(t *testing.T) {
	disk, err := replica.OpenDisk(copyFolder(t, format1Folder))
	assert.NilError(t, err)
	defer disk.Close()
	codec, err := turn.NewCodec()
	assert.NilError(t, err)
	retained, chained := 0, 0
	assert.NilError(t, disk.EachTurn(1, func(stored replica.Turn) error {
		retained++
		_, err := codec.Decode(stored.Program, stored.Object, stored.Digest)
		return err
	}))
	assert.NilError(t, disk.ReadTurns(0, "p-1", 1, func(stored replica.Turn) error {
		chained++
		_, err := history.Decode(stored.Object, stored.Digest)
		return err
	}))
	assert.Equal(t, retained, 2)
	assert.Equal(t, chained, 3)
}

func copyFolder(t *testing.T, folder string) string {
	t.Helper()
	target := t.TempDir()
	assert.NilError(t, os.CopyFS(target, os.DirFS(folder)))
	return target
}

// fileEntries lists the entries of the data file. It uses bbolt directly and literal
// names, so that it doesn't depend on the code under test.
func fileEntries(t *testing.T, folder string) string {
	t.Helper()
	database, err := bbolt.Open(filepath.Join(folder, "replica.db"), 0o600, &bbolt.Options{NoFreelistSync: true})
	assert.NilError(t, err)
	defer database.Close()
	var text strings.Builder
	assert.NilError(t, database.View(func(transaction *bbolt.Tx) error {
		return transaction.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			fmt.Fprintf(&text, "bucket %q\n", name)
			return bucket.ForEach(func(key, value []byte) error {
				fmt.Fprintf(&text, "%q\n  %x\n", key, value)
				return nil
			})
		})
	}))
	return text.String()
}

// dumpSample returns everything that the store holds for the shards of the sample data.
func dumpSample(t *testing.T, store replica.Store) string {
	t.Helper()
	var text strings.Builder
	addTurn := func(label string) func(replica.Turn) error {
		return func(stored replica.Turn) error {
			fmt.Fprintf(&text, "  %s %q %d %x %x\n", label, stored.Program, stored.Sequence, stored.Digest, stored.Object)
			return nil
		}
	}
	for _, shard := range sampleShards {
		fmt.Fprintf(&text, "shard %d\n", shard)
		assert.NilError(t, store.EachRegister(shard, func(key string, state replica.Register) error {
			loaded, err := store.LoadRegister(shard, key)
			assert.DeepEqual(t, loaded, state)
			fmt.Fprintf(&text, "  register %q promised %v accepted %v %x\n", key, state.Promised, state.Accepted, state.Value)
			return err
		}))
		for _, name := range []string{"configuration-version", "mirror-instances", "removed", "shard-0", "shard-count"} {
			value, err := store.LoadMeta(shard, name)
			assert.NilError(t, err)
			if value != nil {
				fmt.Fprintf(&text, "  meta %q %q\n", name, value)
			}
		}
		assert.NilError(t, store.EachTurn(shard, addTurn("turn")))
		assert.NilError(t, replica.EachTurnKey(store, shard, addTurn("name")))
		assert.NilError(t, store.ReadTurns(shard, "p-1", 2, addTurn("from 2")))
	}
	return text.String()
}
