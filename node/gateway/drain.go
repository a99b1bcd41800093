package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// readinessNoticeFraction of the drain timeout is left for load balancers to detect
	// that this gateway is not ready. New connections are still served during that time.
	readinessNoticeFraction = 0.4
	// exitFraction of the drain timeout is reserved for the exit of the process.
	exitFraction = 0.08
)

// Drain shuts the gateway down gracefully: it reports that it is not ready, serves new
// connections until load balancers have noticed, then stops accepting connections and waits
// for requests in flight.
func (g *Gateway) Drain() {
	defer g.stop()
	began := time.Now()
	g.draining.Store(true)
	g.logger.Info("draining", zap.Int64("in_flight", g.relay.InFlight()), zap.Duration("limit", g.settings.DrainTimeout))
	time.Sleep(fractionOf(readinessNoticeFraction, g.settings.DrainTimeout))
	shutdownTimeout := fractionOf(1-readinessNoticeFraction-exitFraction, g.settings.DrainTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := g.callers.shutdown(ctx)
	g.storage.budgets.Flush(ctx)
	g.storage.peers.Close()
	g.logger.Info("stopped", zap.Int("in_flight", g.relay.LogInFlight()),
		zap.Duration("took", time.Since(began)), zap.Error(err))
}

func fractionOf(fraction float64, duration time.Duration) time.Duration {
	return time.Duration(fraction * float64(duration))
}
