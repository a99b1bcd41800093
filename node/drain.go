package node

import (
	"context"
	"errors"

	"go.uber.org/zap"
)

// Drain stops the node as planned. It refuses new requests, lets those in flight
// end, tells the peers that this node leaves, waits until they have taken its
// replicas over, and stops the services then. The setting drain_timeout bounds
// the waiting; the error names what was still in flight after that.
func (n *Node) Drain() error {
	n.draining.Store(true)
	n.logger.Info("draining", zap.Int("in_flight", n.callers.InFlight()))
	n.membership.SetLeaving(true)
	n.callers.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	err := errors.Join(n.callers.Wait(ctx), n.executor.Drain(ctx))
	n.repair.AwaitHandover(ctx, n.replica.Incarnation())
	err = errors.Join(err, n.callerListener.Shutdown(ctx))
	n.logger.Info("drained", zap.Error(err))
	return errors.Join(err, n.Close())
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
