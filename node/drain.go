package node

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/shard"
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

// lateHandler is a handler that is set after its server has been opened. Until
// then it answers 503.
type lateHandler struct {
	handler atomic.Pointer[http.Handler]
}

func (l *lateHandler) set(handler http.Handler) { l.handler.Store(&handler) }

// ServeHTTP implements http.Handler.
func (l *lateHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	handler := l.handler.Load()
	if handler == nil {
		http.Error(writer, "starting", http.StatusServiceUnavailable)
		return
	}
	(*handler).ServeHTTP(writer, request)
}

// shardViews is the shard map together with the configuration version that
// fences every change.
type shardViews struct {
	*shard.Map
	holder *configuration.Holder
}

// ConfigurationVersion implements register.Views.
func (v *shardViews) ConfigurationVersion() uint64 { return v.holder.Version() }

// LearnConfiguration waits until this node has the version that a replica
// knows, as far as the context allows.
func (v *shardViews) LearnConfiguration(ctx context.Context, version uint64) {
	// Where the wait fails the next round is refused again and says so.
	_, _ = v.holder.Wait(ctx, version)
}
