package measure

import (
	"slices"

	dto "github.com/prometheus/client_model/go"

	"github.com/marblering/marblering/lab/deployment"
)

// procedureTraffic is what all nodes sent for one procedure.
type procedureTraffic struct {
	requests float64
	bytes    float64
}

// traffic is by procedure of the internal protocol.
type traffic map[string]procedureTraffic

const (
	requestsMetric = "marblering_peer_requests_total"
	sentMetric     = "marblering_peer_sent_bytes_total"
	clientSide     = "client"
)

// readTraffic sums the counters of all nodes. Requests are counted once, where
// they are sent; bytes are those sent by either side.
func readTraffic(system *deployment.Deployment) (traffic, error) {
	total := make(traffic)
	for _, node := range system.Nodes {
		families, err := node.Metrics().Gather()
		if err != nil {
			return nil, err
		}
		for _, family := range families {
			total.addFamily(family)
		}
	}
	return total, nil
}

func (t traffic) addFamily(family *dto.MetricFamily) {
	for _, metric := range family.GetMetric() {
		procedure := label(metric, "procedure")
		counts := t[procedure]
		switch {
		case family.GetName() == requestsMetric && label(metric, "side") == clientSide:
			counts.requests += metric.GetCounter().GetValue()
		case family.GetName() == sentMetric:
			counts.bytes += metric.GetCounter().GetValue()
		default:
			continue
		}
		t[procedure] = counts
	}
}

func label(metric *dto.Metric, name string) string {
	for _, pair := range metric.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}

func (t traffic) less(before traffic) traffic {
	difference := make(traffic)
	for procedure, counts := range t {
		difference[procedure] = procedureTraffic{
			requests: counts.requests - before[procedure].requests,
			bytes:    counts.bytes - before[procedure].bytes,
		}
	}
	return difference
}

func (t traffic) procedures() []string {
	var names []string
	for name := range t {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
