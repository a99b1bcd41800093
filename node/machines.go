package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/protocol/objectapi"
)

const (
	// machinesInterval is the pause between two readings of the machine list.
	machinesInterval = time.Second
	// readersPerZone bounds the nodes of a zone that read the object API; the
	// others learn from them.
	readersPerZone = 2
	// watchSilence ends a watch whose connection is taken for dead.
	watchSilence = 15 * time.Second
	// machinesKey makes the choice of readers independent of other choices.
	machinesKey = "machine list"
)

// machineWatch reads the platform's lagging list of machines at a few nodes a
// zone and passes on who is leaving. It is a suture service.
type machineWatch struct {
	platform   *objectapi.Client
	membership *membership.Service
	reads      func(key string) bool
	timeout    time.Duration
	logger     *zap.Logger
}

// Serve reads the list until the context ends.
func (w *machineWatch) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if w.reads(machinesKey) {
			w.read(ctx)
		}
		_ = sleep.For(ctx, machinesInterval)
	}
	return ctx.Err()
}

func (w *machineWatch) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	listed, err := w.platform.Machines(ctx)
	if err != nil {
		w.logger.Debug("machine list not read", zap.Error(err))
		return
	}
	machines := make([]membership.Machine, 0, len(listed))
	for _, machine := range listed {
		machines = append(machines, membership.Machine{
			Name:    machine.Name,
			Leaving: machine.State == objectapi.MachineLeaving,
		})
	}
	w.membership.ObserveMachines(machines)
}
