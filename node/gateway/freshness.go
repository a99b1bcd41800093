package gateway

import (
	"time"

	"github.com/marblering/marblering/transport/relay"
)

// clockRateMargin is the part of the revoke limit that is left for steady clocks of storage
// nodes and gateways that run at different rates. Quartz is off by 0.01% at most; the
// rest of this 1% is margin (chosen, not measured).
const clockRateMargin = 0.01

// configurationFreshness implements relay.Proof: it is that of the follower of the configuration.
type configurationFreshness struct{ gateway *Gateway }

var _ relay.Proof = configurationFreshness{}

// Staleness implements relay.Proof. Where the newest configuration can't be used,
// nothing is known of the one in force.
func (p configurationFreshness) Staleness() (staleness time.Duration, ok bool) {
	staleness, ok = p.gateway.followers.configuration.Staleness()
	// This comes after: what was proved was applied before, or found unusable.
	if p.gateway.configurationInvalid.Load() || p.gateway.activeTable.Table() == nil {
		return 0, false
	}
	return staleness, ok
}

// Limit implements relay.Proof.
func (p configurationFreshness) Limit() time.Duration {
	return time.Duration((1 - clockRateMargin) * float64(p.gateway.settings.RevokeLimit))
}

// Source implements relay.Proof.
func (p configurationFreshness) Source() string {
	return p.gateway.followers.configurationSource.Through()
}

// isTooStaleForKeys tells that requests with keys are refused since nothing proves the keys
// valid.
func (g *Gateway) isTooStaleForKeys() bool {
	if g.settings.RevokeLimit == 0 {
		return false
	}
	staleness, known := configurationFreshness{g}.Staleness()
	return !known || staleness > configurationFreshness{g}.Limit()
}
