package node

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

// The stages of a drain follow each other. Each has until its fraction of the drain
// timeout, counted from the start of the drain: it gets what the stages before it leave,
// and at least the difference to the fraction before.
const (
	// callsFraction leaves a call of the default call_timeout its whole time under the
	// default drain_timeout.
	callsFraction = 0.92
	// answersFraction is for the answers to the requests that are cut. A client that reads
	// slowly has the time of the stages that follow as well.
	answersFraction = 0.94
	// storingFraction is for the answers of engines that are still being stored.
	storingFraction = 0.95
	// handoverFraction is for other nodes to take over the replicas. They begin when the
	// drain does.
	handoverFraction = 0.98
	// responsesFraction is for the responses that are still being written. The rest is for
	// the exit of the process.
	responsesFraction = 0.99
)

// Drain stops the node as planned. It refuses new requests, lets those in flight
// end, tells the peers that this node leaves, waits until they have taken its
// replicas over, and stops the services then. The setting drain_timeout bounds
// the waiting; requests that are in flight for too long are cut, and the error tells
// how many.
func (n *Node) Drain() error {
	began := time.Now()
	n.draining.Store(true)
	n.logger.Info("draining", zap.Int("in_flight", n.callers.InFlight()))
	n.membership.SetLeaving(true)
	n.callers.Drain()
	err := errors.Join(n.endCalls(began), n.within(began, storingFraction, n.executor.Drain))
	err = errors.Join(err, n.within(began, handoverFraction, func(ctx context.Context) error {
		n.repair.AwaitHandover(ctx, n.replica.Incarnation())
		return nil
	}))
	err = errors.Join(err, n.within(began, responsesFraction, n.callerListener.Shutdown))
	n.logger.Info("drained", zap.Duration("took", time.Since(began)), zap.Error(err))
	return errors.Join(err, n.Close())
}

// endCalls waits for the requests in flight and cuts those that take too long.
func (n *Node) endCalls(began time.Time) error {
	if n.within(began, callsFraction, n.callers.Wait) == nil {
		return nil
	}
	cut := n.callers.Cut(n.stageEnd(began, responsesFraction))
	err := n.within(began, answersFraction, n.callers.Wait)
	if cut == 0 {
		return err
	}
	return errors.Join(merry.Errorf("%d requests were cut after %v", cut, time.Since(began).Round(time.Millisecond)), err)
}

// within runs one stage of a drain.
func (n *Node) within(began time.Time, fraction float64, stage func(context.Context) error) error {
	ctx, cancel := context.WithDeadline(context.Background(), n.stageEnd(began, fraction))
	defer cancel()
	return stage(ctx)
}

// stageEnd returns when the stage with the fraction ends.
func (n *Node) stageEnd(began time.Time, fraction float64) time.Time {
	return began.Add(time.Duration(fraction * float64(n.settings.DrainTimeout)))
}

// Close stops the services at once, as a crash would. A closed node stays closed.
func (n *Node) Close() error {
	n.closing.Do(func() {
		n.stop()
		<-n.stopped
		n.peers.Close()
		n.closed = n.store.Close()
	})
	return n.closed
}
