package gateway

import "github.com/prometheus/client_golang/prometheus"

// register adds what this package itself counts to the metrics. Other parts have
// registered theirs when they were made.
func (g *Gateway) register() {
	g.gauge("marblering_gateway_in_flight_requests", "Requests under way.",
		func() float64 { return float64(g.relay.InFlight()) })
	g.gauge("marblering_gateway_configuration_version", "Version of the configuration in force.", g.versionInForce)
	g.gauge("marblering_gateway_configuration_staleness_seconds", "How long ago the configuration in force was last proved to be the newest; -1 for never.", g.stalenessSeconds)
	g.gauge("marblering_gateway_instances", "Instances known.", g.knownInstances)
	g.counter("marblering_gateway_dials_total", "Connections made to back ends.", g.upstream.Dials)
	g.counter("marblering_gateway_probes_total", "Connections made to see whether a silent back end's machine answers.", g.upstream.Probes)
	g.metrics.MustRegister(g.ejections, g.followers.storeCalls, g.entries.refused)
}

// gauge registers a value that is read when metrics are gathered.
func (g *Gateway) gauge(name, help string, value func() float64) {
	g.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// counter does the same for one that never falls.
func (g *Gateway) counter(name, help string, value func() uint64) {
	g.metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
		func() float64 { return float64(value()) }))
}

func (g *Gateway) versionInForce() float64 {
	table := g.tables.Table()
	if table == nil {
		return 0
	}
	return float64(table.Version())
}

func (g *Gateway) stalenessSeconds() float64 {
	staleness, known := proof{g}.Staleness()
	if !known {
		return -1
	}
	return staleness.Seconds()
}

func (g *Gateway) knownInstances() float64 {
	known, _ := g.backends.Count()
	return float64(known)
}
