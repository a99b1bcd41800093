package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// readinessNoticeFraction of the drain's time is left for balancers to notice that this node
	// isn't ready (chosen, not measured). New connections still come meanwhile and are
	// served.
	readinessNoticeFraction = 0.4
	// exitFraction is left at the end for the process to exit (chosen, not measured).
	exitFraction = 0.08
)

// Drain ends the gateway without cutting an answer: it calls itself not ready,
// serves on while callers still come, then takes no more connections and waits
// for what is under way.
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
	g.logger.Info("stopped", zap.Int64("in_flight", g.relay.InFlight()),
		zap.Duration("took", time.Since(began)), zap.Error(err))
}

func fractionOf(fraction float64, duration time.Duration) time.Duration {
	return time.Duration(fraction * float64(duration))
}
