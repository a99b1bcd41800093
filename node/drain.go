package node

import (
	"context"
	"errors"

	"go.uber.org/zap"
)

// Drain is a planned stop: new requests are refused, those in flight end as
// they would, the peers learn that this node leaves and take its replicas over,
// and only then the services stop.
func (n *Node) Drain() error {
	n.draining.Store(true)
	n.logger.Info("draining", zap.Int("in_flight", n.callers.InFlight()))
	n.membership.SetLeaving(true)
	n.callers.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	err := errors.Join(n.callers.Wait(ctx), n.executor.Drain(ctx))
	n.repair.AwaitHandover(ctx, n.replica.Incarnation())
	err = errors.Join(err, n.callerListener.Finish(ctx))
	n.logger.Info("drained", zap.Error(err))
	return errors.Join(err, n.Close())
}

// Close stops the services at once, as a crash would. A node that has stopped
// stays so.
func (n *Node) Close() error {
	n.closing.Do(func() {
		n.stop()
		<-n.stopped
		n.peers.Close()
		n.closed = n.store.Close()
	})
	return n.closed
}
