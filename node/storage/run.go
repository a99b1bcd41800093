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
	// softMemoryLimitFraction is the fraction of the memory limit that the Go runtime
	// uses as its soft limit. The rest is for memory that the runtime doesn't count, such
	// as the mapped data file.
	softMemoryLimitFraction = 0.8
	// diskCheckInterval is the interval between two checks for a failed write.
	diskCheckInterval = 250 * time.Millisecond
	// reopenDelay is the pause before reopening the data folder after a failed write.
	reopenDelay = 700 * time.Millisecond
)

// errDiskFailed means that a write to the data folder has failed.
var errDiskFailed = errors.New("replica data is not writable")

// Run runs a storage node until the context ends. After a failed write to the disk it
// reopens and verifies the data, as after a restart, until writes succeed. It returns any
// other error.
func Run(ctx context.Context, loaded settings.Storage, parts Dependencies, logger *zap.Logger) error {
	debug.SetMemoryLimit(int64(softMemoryLimitFraction * float64(loaded.MemoryLimit)))
	for {
		err := runOnce(ctx, loaded, parts, logger)
		if !errors.Is(err, errDiskFailed) {
			return err
		}
		logger.Error("disk write failed, reopening the replica data", zap.Error(err))
		if sleep.For(ctx, reopenDelay) != nil {
			return nil
		}
	}
}

// runOnce runs the node until the context ends or a write to the disk fails.
func runOnce(ctx context.Context, loaded settings.Storage, parts Dependencies, logger *zap.Logger) error {
	began := time.Now()
	disk, err := replica.OpenDisk(loaded.DataFolder)
	if err != nil {
		return err
	}
	if damage := disk.Corruption(); damage != nil {
		logger.Error("replica data was damaged and is set aside", zap.Error(damage))
	}
	n := &Node{
		settings: loaded, parts: parts, logger: logger, disk: disk,
		metrics: telemetry.NewRegistry(), storeCalls: telemetry.NewStoreCallsCounter(),
		limitedLogger: telemetry.RateLimitedForFollowers(logger),
	}
	services, err := n.build()
	if err != nil {
		return errors.Join(err, disk.Close())
	}
	logger.Info("started", zap.String("incarnation", disk.Incarnation()), zap.String("peer_address", n.self.Address),
		zap.Int("sets_known", len(n.views.Views())), zap.Duration("opening_took", time.Since(began)))
	err = errors.Join(n.serve(ctx, services), disk.Close())
	logger.Info("stopped", zap.Error(err))
	return err
}

// serve runs the services until the context ends or the disk fails. It returns the failure
// of the disk.
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
	failure := n.awaitDiskFailure(ctx)
	if failure == nil {
		n.drain()
	}
	stop()
	<-stopped
	n.peers.Close()
	return failure
}

// awaitDiskFailure waits for a failed write and returns it as an error, or nil when the
// context ends.
func (n *Node) awaitDiskFailure(ctx context.Context) error {
	ticker := time.NewTicker(diskCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if failure := n.disk.WriteError(); failure != nil {
				return merry.Wrap(errDiskFailed, merry.WithCause(failure), merry.AppendMessagef("%v", failure))
			}
		}
	}
}
