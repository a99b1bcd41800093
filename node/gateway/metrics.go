package gateway

import "github.com/prometheus/client_golang/prometheus"

// registerMetrics registers the metrics of this package. Other packages register theirs in
// their constructors.
func (g *Gateway) registerMetrics() {
	g.registerGauge("marblering_gateway_in_flight_requests", "Requests under way.",
		func() float64 { return float64(g.relay.InFlight()) })
	g.registerGauge("marblering_gateway_configuration_version", "Version of the configuration in force.", g.configurationVersion)
	g.registerGauge("marblering_gateway_configuration_staleness_seconds", "How long ago the configuration in force was last proved to be the newest; -1 for never.", g.stalenessSeconds)
	g.registerGauge("marblering_gateway_instances", "Instances known.", g.instanceCount)
	g.registerGauge("marblering_gateway_software_versions", "Software versions of the service with the most of them.", g.versionCount)
	g.registerCounter("marblering_gateway_dials_total", "Connections made to back ends.", g.upstream.Dials)
	g.registerCounter("marblering_gateway_probes_total", "Connections made to see whether a silent back end's machine answers.", g.upstream.Probes)
	g.metrics.MustRegister(g.ejections, g.followers.storeCalls, g.invalidEntries.counter)
}

// registerGauge registers a gauge whose value is read on each scrape.
func (g *Gateway) registerGauge(name, help string, value func() float64) {
	g.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// registerCounter registers a counter whose value is read on each scrape.
func (g *Gateway) registerCounter(name, help string, value func() uint64) {
	g.metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
		func() float64 { return float64(value()) }))
}

func (g *Gateway) configurationVersion() float64 {
	table := g.activeTable.Table()
	if table == nil {
		return 0
	}
	return float64(table.Version())
}

func (g *Gateway) stalenessSeconds() float64 {
	staleness, known := configurationFreshness{g}.Staleness()
	if !known {
		return -1
	}
	return staleness.Seconds()
}

func (g *Gateway) versionCount() float64 {
	most := 0
	for _, versions := range g.backends.Versions() {
		most = max(most, len(versions))
	}
	return float64(most)
}

func (g *Gateway) instanceCount() float64 {
	known, _ := g.backends.Count()
	return float64(known)
}
