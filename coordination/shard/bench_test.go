package shard_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
)

// Compressed sizes of one program in the benchmark, which has a record and some turns.
const (
	recordBytes     = 2 << 10
	turnBytes       = 4 << 10
	turnsPerProgram = 8
)

// newRepairNetwork returns a network of four nodes, three of which hold the shard.
func newRepairNetwork(b *testing.B, records int, open func() replica.Store) (*network, register.View) {
	b.Helper()
	n := newNetwork(1)
	n.instant = true
	view := register.View{Epoch: shard.FirstEpoch}
	for index := range 4 {
		kept := &process{store: open()}
		kept.member.Node = nodeName(index)
		kept.member.Address = nodeName(index)
		kept.member.Incarnation = nodeName(index) + "-1"
		p := n.start(nodeName(index), "zone", kept)
		if index < 3 {
			view.Members = append(view.Members, p.member)
			fillStore(b, p.store, records)
		}
	}
	for _, name := range n.names() {
		n.process(name).views.Learn(view)
	}
	return n, view
}

func fillStore(b *testing.B, store replica.Store, records int) {
	ballot := replica.Ballot{Counter: 1, Proposer: "client"}
	for number := range records {
		program := fmt.Sprint("program-", number)
		value := bytes.Repeat([]byte{1}, recordBytes)
		assert.NilError(b, store.SaveRegister(0, program, replica.Register{Promised: ballot, Accepted: ballot, Value: value}))
		for sequence := range uint64(turnsPerProgram) {
			turn := replica.Turn{Program: program, Sequence: sequence, Object: bytes.Repeat([]byte{2}, turnBytes)}
			turn.Digest = sha256.Sum256(fmt.Append(nil, program, sequence))
			assert.NilError(b, store.PutTurn(0, turn))
		}
	}
}

// BenchmarkRepair reports how long a shard is unavailable while one of three members is
// replaced, and the bytes copied. Messages take no time.
func BenchmarkRepair(b *testing.B) {
	stores := map[string]func(b *testing.B) replica.Store{
		"memory": func(*testing.B) replica.Store { return replica.NewMemory() },
		"disk":   openBenchmarkDisk,
	}
	for _, kind := range []string{"memory", "disk"} {
		for _, records := range []int{200, 2000} {
			b.Run(fmt.Sprint(kind, ", records=", records), func(b *testing.B) {
				benchmarkRepair(b, records, func() replica.Store { return stores[kind](b) })
			})
		}
	}
}

func openBenchmarkDisk(b *testing.B) replica.Store {
	disk, err := replica.OpenDisk(b.TempDir())
	assert.NilError(b, err)
	b.Cleanup(func() { _ = disk.Close() })
	return disk
}

func benchmarkRepair(b *testing.B, records int, open func() replica.Store) {
	var sealed, copied float64
	for range b.N {
		b.StopTimer()
		n, view := newRepairNetwork(b, records, open)
		wanted := append(view.Members[1:3:3], n.process(nodeName(3)).member)
		driving := n.process(nodeName(1))
		random := rand.New(rand.NewPCG(1, 1))
		driver := shard.NewDriver(driving.member.Incarnation, link{n, driving.member.Node}, driving.views,
			register.SystemClock{}, random, register.DefaultSettings(), zap.NewNop())
		b.StartTimer()
		opened, err := driver.Drive(context.Background(), view, wanted)
		assert.NilError(b, err)
		assert.Equal(b, opened.Epoch, view.Epoch+1)
		sealed += float64(n.openedAt.Sub(n.sealedAt).Nanoseconds())
		copied += float64(n.pulledBytes)
	}
	b.ReportMetric(sealed/float64(b.N), "sealed-ns/op")
	b.ReportMetric(copied/float64(b.N), "copied-B/op")
}
