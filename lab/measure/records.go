package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"

	"go.uber.org/zap"

	"github.com/marblering/marblering/lab/deployment"
)

// RecordOptions describe a measurement of what programs keep in memory.
type RecordOptions struct {
	Programs int
	Turns    int
	Seed     uint64
}

// warmPrograms fill the pools and caches that every process has, whatever the
// number of programs.
const warmPrograms = 50

// recordReplicas is the number of copies of each record.
const recordReplicas = 3

// Records prints the heap that programs occupy in a deployment of three nodes,
// after collections. The stand-in engines run in the same process, so that what
// they keep of each program counts too: an upper bound.
func Records(ctx context.Context, out io.Writer, options RecordOptions) (err error) {
	system, err := deployment.Start(ctx, deployment.Options{
		Zones: recordReplicas, Nodes: recordReplicas, Engines: recordReplicas, Shards: 16,
		Seed: options.Seed, TimeScale: 1000, Logger: zap.NewNop(),
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, system.Close()) }()
	if err := keepPrograms(ctx, system, warmPrograms, options.Turns); err != nil {
		return err
	}
	before := liveHeap()
	if err := keepPrograms(ctx, system, options.Programs, options.Turns); err != nil {
		return err
	}
	grown := float64(liveHeap()) - float64(before)
	perProgram := grown / float64(options.Programs)
	_, err = fmt.Fprintf(out, "programs %d, turns %d: %.0f bytes a program in all, %.0f a copy\n",
		options.Programs, options.Turns, perProgram, perProgram/recordReplicas)
	return err
}

// keepPrograms creates programs, runs their turns and leaves them open.
func keepPrograms(ctx context.Context, system *deployment.Deployment, programs, turns int) error {
	for index := range programs {
		address := "http://" + system.Nodes[index%len(system.Nodes)].CallerAddress()
		id, err := createProgram(ctx, address)
		if err != nil {
			return err
		}
		for turn := range turns {
			if _, _, err := streamTurn(ctx, address, id, fmt.Sprintf("turn %d", turn), 4); err != nil {
				return err
			}
		}
	}
	return nil
}

// liveHeap is the heap in use after two collections: the second frees what
// finalizers held.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}
