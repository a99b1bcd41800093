package gateway

import (
	"time"

	"github.com/marblering/marblering/transport/relay"
)

// clockRateMargin is the fraction of the revoke limit that is reserved for clocks of
// storage nodes and gateways that run at different rates. Quartz clocks are off by at most
// 0.01%.
const clockRateMargin = 0.01

// configurationFreshness implements relay.ConfigurationFreshness with the follower of the
// configuration.
type configurationFreshness struct{ gateway *Gateway }

var _ relay.ConfigurationFreshness = configurationFreshness{}

// Staleness implements relay.ConfigurationFreshness. While the newest configuration is
// invalid, the staleness of the active one is unknown.
func (f configurationFreshness) Staleness() (staleness time.Duration, ok bool) {
	staleness, ok = f.gateway.followers.configuration.Staleness()
	// The order matters: the follower reports a proof only after the configuration was
	// applied or found invalid.
	if f.gateway.configurationInvalid.Load() || f.gateway.activeTable.Table() == nil {
		return 0, false
	}
	return staleness, ok
}

// Limit implements relay.ConfigurationFreshness.
func (f configurationFreshness) Limit() time.Duration {
	return time.Duration((1 - clockRateMargin) * float64(f.gateway.settings.RevokeLimit))
}

// Source implements relay.ConfigurationFreshness.
func (f configurationFreshness) Source() string {
	return f.gateway.followers.configurationSource.UpstreamName()
}

// isTooStaleForKeys reports whether requests with keys are refused because the active
// configuration may contain revoked keys.
func (g *Gateway) isTooStaleForKeys() bool {
	if g.settings.RevokeLimit == 0 {
		return false
	}
	staleness, known := configurationFreshness{g}.Staleness()
	return !known || staleness > configurationFreshness{g}.Limit()
}
