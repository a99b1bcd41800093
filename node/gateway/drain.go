package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// noticePart of the drain's time is left for balancers to notice that this node
	// isn't ready (chosen, not measured). New connections still come meanwhile and are
	// served.
	noticePart = 0.4
	// reservedPart is left at the end for the process to exit (chosen, not measured).
	reservedPart = 0.08
)

// Drain ends the gateway without cutting an answer: it calls itself not ready,
// serves on while callers still come, then takes no more connections and waits
// for what is under way.
func (g *Gateway) Drain() {
	defer g.stop()
	began := time.Now()
	g.draining.Store(true)
	g.logger.Info("draining", zap.Int64("in_flight", g.relay.InFlight()), zap.Duration("limit", g.settings.DrainTimeout))
	time.Sleep(part(noticePart, g.settings.DrainTimeout))
	left := part(1-noticePart-reservedPart, g.settings.DrainTimeout)
	bounded, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	err := g.callers.shutdown(bounded)
	g.state.budgets.Flush(bounded)
	g.state.peers.Close()
	g.logger.Info("stopped", zap.Int64("in_flight", g.relay.InFlight()),
		zap.Duration("took", time.Since(began)), zap.Error(err))
}

func part(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}
