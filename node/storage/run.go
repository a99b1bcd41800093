package storage

import (
	"context"
	"errors"
	"runtime/debug"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/telemetry"
)

const (
	// memoryPart is the part of the memory limit at which the garbage collector works
	// harder; the rest is for what it doesn't count, such as the mapped data file.
	// Chosen, not measured.
	memoryPart = 0.8
	// flushTimeout bounds the return of reserves and slots at a planned stop. Chosen,
	// not measured.
	flushTimeout = time.Second
	// failureInterval is the pause between two checks whether the disk has refused a
	// write. Chosen, not measured.
	failureInterval = 250 * time.Millisecond
	// restartPause is the pause before the data is opened again after that. Chosen, not
	// measured.
	restartPause = 700 * time.Millisecond
)

// errStoreFailed ends one run of the node whose disk refused a write.
var errStoreFailed = errors.New("the replica store takes no writes any more")

// Run runs a storage node until the context ends. If its disk refuses a write, it opens
// and verifies the data again, as after a restart, until the disk takes writes. Other
// errors end it.
func Run(ctx context.Context, loaded settings.Storage, parts Parts, logger *zap.Logger) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(loaded.MemoryLimit)))
	for {
		err := runOnce(ctx, loaded, parts, logger)
		if !errors.Is(err, errStoreFailed) {
			return err
		}
		logger.Error("disk refused a write, opening the data again", zap.Error(err))
		if sleep.For(ctx, restartPause) != nil {
			return nil
		}
	}
}

// runOnce runs the node until the context ends or its store has failed.
func runOnce(ctx context.Context, loaded settings.Storage, parts Parts, logger *zap.Logger) error {
	began := time.Now()
	store, err := replica.OpenDisk(loaded.DataFolder)
	if err != nil {
		return err
	}
	if damage := store.Damage(); damage != nil {
		logger.Error("replica data was damaged and is set aside", zap.Error(damage))
	}
	n := &Node{
		settings: loaded, parts: parts, logger: logger, store: store,
		metrics: telemetry.NewRegistry(), storeCalls: telemetry.NewStoreCalls(),
		following: telemetry.Following(logger),
	}
	services, err := n.build()
	if err != nil {
		return errors.Join(err, store.Close())
	}
	logger.Info("started", zap.String("incarnation", store.Incarnation()), zap.String("peer_address", n.self.Address),
		zap.Int("sets_known", len(n.views.Views())), zap.Duration("opening_took", time.Since(began)))
	err = errors.Join(n.serve(ctx, services), store.Close())
	logger.Info("stopped", zap.Error(err))
	return err
}

// serve runs the services until the context ends, or until the store has failed, which
// it returns.
func (n *Node) serve(ctx context.Context, services []suture.Service) error {
	supervisor := suture.New("storage", suture.Spec{EventHook: func(event suture.Event) {
		n.logger.Warn("supervisor event", zap.String("event", event.String()))
	}})
	for _, service := range services {
		supervisor.Add(service)
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	stopped := supervisor.ServeBackground(running)
	failure := n.await(ctx)
	if failure == nil {
		n.flush()
	}
	stop()
	<-stopped
	n.peers.Close()
	return failure
}

// await returns nil when the context ends, and an error once the store failed.
func (n *Node) await(ctx context.Context) error {
	ticker := time.NewTicker(failureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if failure := n.store.Failure(); failure != nil {
				return merry.Wrap(errStoreFailed, merry.WithCause(failure), merry.AppendMessagef("%v", failure))
			}
		}
	}
}

// flush gives slots of quotas and reserves of budgets back while other nodes still hear
// this one.
func (n *Node) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	n.quotas.Release(ctx)
	n.ledger.Flush(ctx)
}
