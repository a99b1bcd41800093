package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/routetable"
)

var (
	errNoConfiguration = errors.New("no configuration yet")
	errNoInstances     = errors.New("the instances aren't listed yet")
	errCutOff          = errors.New("no storage node can be reached")
	errDraining        = errors.New("draining")
)

// applyConfiguration puts a newer configuration in force. One that can't be
// used changes nothing.
func (g *Gateway) applyConfiguration(snapshot follow.Snapshot) {
	decoded, found, err := g.parts.DecodeConfiguration(snapshot)
	if !found && err == nil {
		return
	}
	var table *routetable.Table
	if err == nil {
		table, err = routetable.NewTable(decoded)
	}
	if err != nil {
		g.unusable.Store(true)
		g.logger.Error("configuration refused", zap.Int64("revision", snapshot.At), zap.Error(err))
		return
	}
	g.unusable.Store(false)
	if !g.tables.Install(table) {
		return
	}
	g.callers.limit(table.Limits())
	g.logger.Info("configuration in force", zap.Int64("version", table.Version()),
		zap.Int64("revision", snapshot.At), zap.Int("routes", table.Routes()))
}

// applyInstances replaces the instances that requests are sent to.
func (g *Gateway) applyInstances(snapshot follow.Snapshot) {
	gone, kept := g.backends.Replace(g.decodeInstances(snapshot))
	g.forget(gone)
	if kept > 0 {
		g.logger.Warn("entries of instances have lapsed", zap.Int64("revision", snapshot.At), zap.Int("kept", kept))
		time.AfterFunc(backend.LapseTime, g.expireInstances)
	}
	g.listed.Store(true)
	known, leaving := g.backends.Count()
	g.logger.Info("instances changed", zap.Int64("revision", snapshot.At),
		zap.Int("known", known), zap.Int("leaving", leaving), zap.Strings("gone", gone))
}

// decodeInstances reads the entries. One that can't be read names no instance: where it
// did before, that one gets nothing new until it does again, and ends what it has.
func (g *Gateway) decodeInstances(snapshot follow.Snapshot) []backend.Instance {
	instances := make([]backend.Instance, 0, len(snapshot.Objects))
	refused := make(map[string]int64)
	for _, object := range snapshot.Objects {
		instance, err := g.parts.DecodeInstance(object)
		if err == nil {
			instances = append(instances, instance)
			continue
		}
		refused[object.Name] = object.Revision
		known, isKnown := g.backends.Known(object.Name)
		if isKnown {
			known.Leaving = true
			instances = append(instances, known)
		}
		if g.refused[object.Name] != object.Revision {
			g.refusedEntries.Inc()
			g.refusals.Warn("instance refused", zap.String("instance", object.Name),
				zap.Int64("revision", object.Revision), zap.Bool("known", isKnown), zap.Error(err))
		}
	}
	g.refused = refused
	return instances
}

// expireInstances drops the instances that lapsed and didn't come back.
func (g *Gateway) expireInstances() {
	gone := g.backends.Expire()
	g.forget(gone)
	if len(gone) > 0 {
		g.logger.Info("lapsed instances dropped", zap.Strings("gone", gone))
	}
}

func (g *Gateway) forget(gone []string) {
	for _, instance := range gone {
		g.upstream.Forget(instance)
	}
}

func (g *Gateway) checkConfiguration(context.Context) error {
	if g.tables.Table() == nil {
		return errNoConfiguration
	}
	return nil
}

func (g *Gateway) checkInstances(context.Context) error {
	if !g.listed.Load() {
		return errNoInstances
	}
	return nil
}

func (g *Gateway) checkStorage(context.Context) error {
	if g.state.reach.IsCutOff() {
		return errCutOff
	}
	return nil
}

// isUnready tells that callers are better served elsewhere: this gateway is being
// stopped, reaches no storage node and can only refuse turns, or can't prove keys valid. Callers keep their
// connections; without a sign they come back to it with each turn.
func (g *Gateway) isUnready() bool {
	return g.draining.Load() || g.state.reach.IsCutOff() || g.isStale()
}

func (g *Gateway) checkServing(context.Context) error {
	if g.draining.Load() {
		return errDraining
	}
	return nil
}

func (g *Gateway) registerGauges() {
	gauge := func(name, help string, value func() float64) {
		g.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("marblering_gateway_in_flight_requests", "Requests under way.",
		func() float64 { return float64(g.relay.InFlight()) })
	gauge("marblering_gateway_configuration_version", "Version of the configuration in force.", g.versionInForce)
	gauge("marblering_gateway_configuration_staleness_seconds", "How long ago the configuration in force was last proved to be the newest; -1 for never.", g.stalenessSeconds)
	gauge("marblering_gateway_instances", "Instances known.", func() float64 {
		known, _ := g.backends.Count()
		return float64(known)
	})
	counter := func(name, help string, value func() uint64) {
		g.metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(value()) }))
	}
	counter("marblering_gateway_dials_total", "Connections made to back ends.", g.upstream.Dials)
	counter("marblering_gateway_probes_total", "Connections made to see whether a silent back end's machine answers.", g.upstream.Probes)
	g.metrics.MustRegister(g.ejections, g.storeCalls, g.refusedEntries)
}

func (g *Gateway) versionInForce() float64 {
	table := g.tables.Table()
	if table == nil {
		return 0
	}
	return float64(table.Version())
}
