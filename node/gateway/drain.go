package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Fractions of the drain timeout that the stages of a stop may take. Each stage has its own
// time, so that none can use that of a later one. The rest is for the exit of the process.
const (
	// noticeFraction is for load balancers to detect that this gateway isn't ready, unless that
	// is more than maxNotice.
	noticeFraction = 0.35
	// finishFraction is for the requests in flight, besides what maxNotice takes from
	// noticeFraction.
	finishFraction = 0.5
	// abortFraction is for the responses of requests that are still in flight then.
	abortFraction = 0.03
	// flushFraction is for reports to other nodes.
	flushFraction = 0.03
)

// maxNotice is the longest time for load balancers, which need two readiness checks a second
// apart. What is taken later has less time to finish before the process ends.
const maxNotice = 2800 * time.Millisecond

// Drain shuts the gateway down gracefully. It serves new requests until load balancers have
// noticed, then refuses them and waits for those in flight. What isn't finished in time is
// aborted: it gets an error as its response, unless that has begun.
func (g *Gateway) Drain() {
	defer g.stop()
	began := time.Now()
	g.draining.Store(true)
	g.logger.Info("draining", zap.Int64("in_flight", g.relay.InFlight()), zap.Duration("limit", g.settings.DrainTimeout))
	notice := g.drainNotice()
	time.Sleep(notice)
	g.relay.RefuseRequests()
	g.callers.StopAccepting()
	err := g.awaitCallers(g.drainStage(noticeFraction+finishFraction) - notice)
	if err != nil {
		g.logger.Warn("aborting requests in flight", zap.Int64("in_flight", g.relay.InFlight()))
		g.relay.AbortInFlight(g.drainStage(abortFraction) / 2)
		err = g.awaitCallers(g.drainStage(abortFraction))
	}
	g.flushBudgets()
	g.storage.peers.Close()
	g.logger.Info("stopped", zap.Int("in_flight", g.relay.LogInFlight()),
		zap.Duration("took", time.Since(began)), zap.Error(err))
}

// drainStage returns the time of a stage.
func (g *Gateway) drainStage(fraction float64) time.Duration {
	return time.Duration(fraction * float64(g.settings.DrainTimeout))
}

// drainNotice returns how long requests are served after the beginning of a stop.
func (g *Gateway) drainNotice() time.Duration { return min(g.drainStage(noticeFraction), maxNotice) }

// awaitCallers waits until all connections of callers are closed, at most for the limit.
func (g *Gateway) awaitCallers(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return g.callers.AwaitDrained(ctx)
}

// flushBudgets reports the turns that have ended to the hosts of their budgets.
func (g *Gateway) flushBudgets() {
	ctx, cancel := context.WithTimeout(context.Background(), g.drainStage(flushFraction))
	defer cancel()
	g.storage.budgets.Flush(ctx)
}
