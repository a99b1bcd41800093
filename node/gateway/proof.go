package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/transport/relay"
)

// rateSlack is the part of the revoke limit that is left for steady clocks of storage
// nodes and gateways that run at different rates. Quartz is off by 0.01% at most.
const rateSlack = 0.01

var errStale = errors.New("the configuration isn't proved to be new enough for keys")

// proof implements relay.Proof: it is that of the follower of the configuration.
type proof struct{ gateway *Gateway }

var _ relay.Proof = proof{}

// Staleness implements relay.Proof. Where the newest configuration can't be used,
// nothing is known of the one in force.
func (p proof) Staleness() (staleness time.Duration, ok bool) {
	staleness, ok = p.gateway.configuration.Staleness()
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
func (p proof) Source() string { return p.gateway.configurationSource.Through() }

// isStale tells that requests with keys are refused since nothing proves the keys
// valid.
func (g *Gateway) isStale() bool {
	if g.settings.RevokeLimit == 0 {
		return false
	}
	staleness, known := proof{g}.Staleness()
	return !known || staleness > proof{g}.Limit()
}

func (g *Gateway) checkProof(context.Context) error {
	if g.isStale() {
		return errStale
	}
	return nil
}

func (g *Gateway) stalenessSeconds() float64 {
	staleness, known := proof{g}.Staleness()
	if !known {
		return -1
	}
	return staleness.Seconds()
}

// provenSettings are those of following the configuration where each answer has to
// prove how new it is: a holder is asked as often as the store is, and one that isn't
// as new as others can be is left while there is time for another.
func provenSettings(revokeLimit time.Duration, usual mirror.SourceSettings) mirror.SourceSettings {
	usual.Wait = min(usual.Wait, mirror.ProofInterval(revokeLimit))
	usual.MaxAge = min(usual.MaxAge, revokeLimit/3)
	// The store is polled, which paces its calls already.
	usual.StorePause = 0
	return usual
}
