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
	// readersPerZone is how many nodes of a zone read the object API, whatever their
	// number; the others learn from them.
	readersPerZone = 2
	// watchSilence is how long a watch of the object API may bring nothing before its
	// connection counts as dead.
	watchSilence = 15 * time.Second
	// machinesKey is the key by which the readers of the machine list are chosen,
	// apart from those of other things.
	machinesKey = "machine list"
)

// machineWatch reads the platform's list of machines, which may be out of date, at
// a few nodes of each zone, and tells the membership which machines are leaving.
// It is a suture service.
type machineWatch struct {
	platform   *objectapi.Client
	membership *membership.Service
	// reads tells whether this node is one of the few that read.
	reads func(key string) bool
	// timeout bounds one reading.
	timeout time.Duration
	logger  *zap.Logger
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
	listed, err := w.platform.ListMachines(ctx)
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
