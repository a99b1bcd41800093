package gateway

import (
	"time"

	"github.com/marblering/marblering/transport/relay"
)

// rateSlack is the part of the revoke limit that is left for steady clocks of storage
// nodes and gateways that run at different rates. Quartz is off by 0.01% at most; the
// rest of this 1% is margin (chosen, not measured).
const rateSlack = 0.01

// proof implements relay.Proof: it is that of the follower of the configuration.
type proof struct{ gateway *Gateway }

var _ relay.Proof = proof{}

// Staleness implements relay.Proof. Where the newest configuration can't be used,
// nothing is known of the one in force.
func (p proof) Staleness() (staleness time.Duration, ok bool) {
	staleness, ok = p.gateway.followers.configuration.Staleness()
	// This comes after: what was proved was applied before, or found unusable.
	if p.gateway.unusable.Load() || p.gateway.tables.Table() == nil {
		return 0, false
	}
	return staleness, ok
}

// Limit implements relay.Proof.
func (p proof) Limit() time.Duration {
	return time.Duration((1 - rateSlack) * float64(p.gateway.settings.RevokeLimit))
}

// Source implements relay.Proof.
func (p proof) Source() string { return p.gateway.followers.configurationSource.Through() }

// isStale tells that requests with keys are refused since nothing proves the keys
// valid.
func (g *Gateway) isStale() bool {
	if g.settings.RevokeLimit == 0 {
		return false
	}
	staleness, known := proof{g}.Staleness()
	return !known || staleness > proof{g}.Limit()
}
