package replica

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const testShards = 2

var testNames = []string{"a", "a.1", "b", "bb"}

// readAll lists everything that a store holds for the test shards and names, one line per
// item. Hashes replace register values and turn objects.
func readAll(store Store) ([]string, error) {
	var lines []string
	addLine := func(parts ...any) { lines = append(lines, fmt.Sprint(parts...)) }
	for shard := range uint32(testShards) {
		for _, name := range testNames {
			meta, metaErr := store.LoadMeta(shard, name)
			state, registerErr := store.LoadRegister(shard, name)
			rangeErr := store.ReadTurns(shard, name, 2, func(turn Turn) error {
				addLine("from 2 ", shard, turn.Program, turn.Sequence, turn.Digest, xxhash.Sum64(turn.Object))
				return nil
			})
			if err := errors.Join(metaErr, registerErr, rangeErr); err != nil {
				return nil, err
			}
			addLine("meta ", shard, name, meta)
			addLine("register ", shard, name, state.Promised, state.Accepted, state.Value == nil, xxhash.Sum64(state.Value))
		}
		registersErr := store.EachRegister(shard, func(key string, state Register) error {
			addLine("each register ", shard, key, state.Promised, state.Accepted, xxhash.Sum64(state.Value))
			return nil
		})
		turnsErr := store.EachTurn(shard, func(turn Turn) error {
			addLine("each turn ", shard, turn.Program, turn.Sequence, turn.Digest, xxhash.Sum64(turn.Object))
			return nil
		})
		namesErr := EachTurnKey(store, shard, func(turn Turn) error {
			addLine("each name ", shard, turn.Program, turn.Sequence, turn.Digest, turn.Object == nil)
			return nil
		})
		if err := errors.Join(registersErr, turnsErr, namesErr); err != nil {
			return nil, err
		}
	}
	return lines, nil
}

// randomWrite draws a random change, which can be applied to several stores.
func randomWrite(t *rapid.T) func(Store) error {
	shard := rapid.Uint32Range(0, testShards-1).Draw(t, "shard")
	name := rapid.SampledFrom(testNames).Draw(t, "name")
	bytes := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "bytes")
	number := rapid.Uint64Range(0, 3).Draw(t, "number")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return func(s Store) error { return s.DeleteTurns(shard, name) }
	case 1:
		return func(s Store) error { return s.DropShard(shard) }
	case 2, 3:
		return func(s Store) error { return s.SaveMeta(shard, name, bytes) }
	case 4, 5, 6:
		turn := Turn{Program: name, Sequence: number, Digest: [32]byte{byte(number), byte(len(bytes))}, Object: bytes}
		return func(s Store) error { return s.PutTurn(shard, turn) }
	default:
		state := Register{Promised: Ballot{Counter: number + 1, Proposer: "p"}, Accepted: Ballot{Counter: number}, Value: bytes}
		return func(s Store) error { return s.SaveRegister(shard, name, state) }
	}
}

func openTestDisk(t testing.TB, folder string) *Disk {
	t.Helper()
	disk, err := OpenDisk(folder)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = disk.Close() })
	return disk
}

// TestDiskMatchesMemory applies the same random changes to a Memory and a Disk, which is
// reopened in between, and compares their contents.
func TestDiskMatchesMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "store")
		assert.NilError(rt, err)
		memory, disk := NewMemory(), openTestDisk(t, folder)
		incarnation := disk.Incarnation()
		for range rapid.IntRange(1, 25).Draw(rt, "writes") {
			write := randomWrite(rt)
			assert.NilError(rt, write(memory))
			assert.NilError(rt, write(disk))
			if rapid.IntRange(0, 6).Draw(rt, "restart") == 0 {
				assert.NilError(rt, disk.Close())
				disk = openTestDisk(t, folder)
			}
		}
		want, err := readAll(memory)
		assert.NilError(rt, err)
		got, err := readAll(disk)
		assert.NilError(rt, err)
		assert.DeepEqual(rt, got, want)
		assert.Equal(rt, disk.Incarnation(), incarnation)
		assert.NilError(rt, disk.Corruption())
		assert.NilError(rt, disk.Close())
	})
}

func TestInvalidNamesAreRejected(t *testing.T) {
	long := string(make([]byte, MaxNameBytes+1))
	stores := map[string]Store{"memory": NewMemory(), "disk": openTestDisk(t, t.TempDir())}
	for kind, store := range stores {
		for _, name := range []string{"", "a\x00b", long} {
			assert.ErrorIs(t, store.SaveRegister(1, name, Register{}), ErrInvalidName, kind)
			assert.ErrorIs(t, store.SaveMeta(1, name, nil), ErrInvalidName, kind)
			assert.ErrorIs(t, store.PutTurn(1, Turn{Program: name}), ErrInvalidName, kind)
		}
	}
}

func TestClosedStoreReturnsErrClosed(t *testing.T) {
	stores := map[string]Store{"memory": NewMemory(), "disk": openTestDisk(t, t.TempDir())}
	for kind, store := range stores {
		assert.NilError(t, store.Close(), kind)
		assert.ErrorIs(t, store.SaveMeta(1, "a", []byte("x")), ErrClosed, kind)
		_, err := store.LoadRegister(1, "a")
		assert.ErrorIs(t, err, ErrClosed, kind)
		assert.ErrorIs(t, store.EachTurn(1, nil), ErrClosed, kind)
		assert.NilError(t, store.Close(), kind)
	}
}

func TestConcurrentWritesAreStored(t *testing.T) {
	disk := openTestDisk(t, t.TempDir())
	const writers, writesEach = 16, 8
	var group sync.WaitGroup
	for index := range writers {
		group.Go(func() {
			for number := range uint64(writesEach) {
				state := Register{Promised: Ballot{Counter: number + 1}}
				assert.Check(t, disk.SaveRegister(1, fmt.Sprint("key-", index), state))
			}
		})
	}
	group.Wait()
	count := 0
	assert.NilError(t, disk.EachRegister(1, func(_ string, state Register) error {
		assert.Equal(t, state.Promised.Counter, uint64(writesEach))
		count++
		return nil
	}))
	assert.Equal(t, count, writers)
}

// TestWritesFailAfterWriteError closes the database under the store. Writes must fail, and
// a failed write must not become visible.
func TestWritesFailAfterWriteError(t *testing.T) {
	disk := openTestDisk(t, t.TempDir())
	before := Register{Promised: Ballot{Counter: 1, Proposer: "p"}}
	assert.NilError(t, disk.SaveRegister(1, "a", before))
	assert.NilError(t, disk.database.Close())
	assert.ErrorIs(t, disk.SaveRegister(1, "a", Register{Promised: Ballot{Counter: 2, Proposer: "p"}}), ErrWriteFailed)
	assert.ErrorIs(t, disk.PutTurn(1, Turn{Program: "a"}), ErrWriteFailed)
	after, err := disk.LoadRegister(1, "a")
	assert.NilError(t, err)
	assert.DeepEqual(t, after, before)
}
