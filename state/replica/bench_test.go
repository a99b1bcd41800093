package replica

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"go.etcd.io/bbolt"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// benchmarkRecordBytes is the approximate size of a program's record.
const benchmarkRecordBytes = 2 << 10

// benchmarkFolder creates a folder inside that of the package, since the default folder
// for temporary files may be in memory, where a sync costs nothing.
func benchmarkFolder(b *testing.B) string {
	b.Helper()
	folder, err := os.MkdirTemp(".", "bench")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}

func benchmarkState(number uint64) Register {
	ballot := Ballot{Counter: number, Proposer: "node/1"}
	return Register{Promised: ballot, Accepted: ballot, Value: bytes.Repeat([]byte{'x'}, benchmarkRecordBytes)}
}

// benchmarkWriters is the number of concurrent writers.
const benchmarkWriters = 64

// runWriters calls write b.N times in total, from the given number of goroutines, with
// numbers from 1 to b.N.
func runWriters(b *testing.B, writers int, write func(number uint64) error) {
	var last atomic.Uint64
	var group errgroup.Group
	b.ResetTimer()
	for range writers {
		group.Go(func() error {
			for number := last.Add(1); number <= uint64(b.N); number = last.Add(1) {
				if err := write(number); err != nil {
					return err
				}
			}
			return nil
		})
	}
	assert.NilError(b, group.Wait())
}

// BenchmarkSave measures a synced write of a register by the store, by a separate bbolt
// transaction and by bbolt's Batch.
func BenchmarkSave(b *testing.B) {
	for _, writers := range []int{1, benchmarkWriters} {
		b.Run(fmt.Sprint("store, writers=", writers), func(b *testing.B) {
			disk := openTestDisk(b, benchmarkFolder(b))
			runWriters(b, writers, func(number uint64) error {
				return disk.SaveRegister(1, fmt.Sprint(number%1000), benchmarkState(number))
			})
		})
		b.Run(fmt.Sprint("transaction each, writers=", writers), func(b *testing.B) {
			database := openPlainBolt(b)
			runWriters(b, writers, func(number uint64) error { return database.Update(plainBoltWrite(number)) })
		})
		b.Run(fmt.Sprint("batches of bbolt, writers=", writers), func(b *testing.B) {
			database := openPlainBolt(b)
			runWriters(b, writers, func(number uint64) error { return database.Batch(plainBoltWrite(number)) })
		})
	}
}

func openPlainBolt(b *testing.B) *bbolt.DB {
	b.Helper()
	path := filepath.Join(benchmarkFolder(b), dataFileName)
	assert.NilError(b, initializeDataFile(path, header{format: FormatVersion, incarnation: "x"}))
	database, err := openBolt(path)
	assert.NilError(b, err)
	b.Cleanup(func() { _ = database.Close() })
	return database
}

func plainBoltWrite(number uint64) func(*bbolt.Tx) error {
	return func(transaction *bbolt.Tx) error {
		key := registerKey(1, fmt.Sprint(number%1000))
		payload, err := encodeRegister(benchmarkState(number))
		if err != nil {
			return err
		}
		return transaction.Bucket(dataBucket).Put(key, encodeEntry(key, payload))
	}
}

// BenchmarkOpen measures opening a store, which verifies the whole file.
func BenchmarkOpen(b *testing.B) {
	for _, records := range []uint64{200, 20_000} {
		b.Run(fmt.Sprint(records, " records"), func(b *testing.B) {
			folder := benchmarkFolder(b)
			disk := openTestDisk(b, folder)
			var group errgroup.Group
			group.SetLimit(maxBatchChanges)
			for number := range records {
				group.Go(func() error { return disk.SaveRegister(1, fmt.Sprint(number), benchmarkState(number+1)) })
			}
			assert.NilError(b, group.Wait())
			assert.NilError(b, disk.Close())
			for b.Loop() {
				reopened, err := OpenDisk(folder)
				assert.NilError(b, err)
				assert.NilError(b, reopened.Close())
			}
		})
	}
}
