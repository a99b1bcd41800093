package gateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/marblering/marblering/telemetry"
)

// Failures of the readiness checks.
var (
	errNoConfiguration    = errors.New("no configuration yet")
	errNoInstances        = errors.New("no list of instances yet")
	errCutOff             = errors.New("no storage node is reachable")
	errStaleConfiguration = errors.New("the configuration is not proven fresh enough to accept keys")
	errDraining           = errors.New("draining")
)

// operatorHandler returns the handler of metrics, health and readiness checks.
func (g *Gateway) operatorHandler() http.Handler {
	readiness := telemetry.NewReadiness()
	readiness.Add("configuration", g.checkConfiguration)
	readiness.Add("instances", g.checkInstances)
	readiness.Add("storage", g.checkStorage)
	readiness.Add("proof", g.checkProof)
	readiness.Add("serving", g.checkServing)
	return telemetry.NewHandlerWithReadyPath(g.settings.ReadyPath, g.metrics, readiness)
}

func (g *Gateway) checkConfiguration(context.Context) error {
	if g.activeTable.Table() == nil {
		return errNoConfiguration
	}
	return nil
}

func (g *Gateway) checkInstances(context.Context) error {
	if !g.instancesListed.Load() {
		return errNoInstances
	}
	return nil
}

func (g *Gateway) checkStorage(context.Context) error {
	if g.storage.reachability.IsCutOff() {
		return errCutOff
	}
	return nil
}

func (g *Gateway) checkProof(context.Context) error {
	if g.isTooStaleForKeys() {
		return errStaleConfiguration
	}
	return nil
}

func (g *Gateway) checkServing(context.Context) error {
	if g.draining.Load() {
		return errDraining
	}
	return nil
}

// isUnready reports whether callers should use another gateway: this one is draining,
// reaches no storage node and must refuse turns, or cannot prove that keys are valid.
// The relay then closes their connections, which they would otherwise reuse for each turn.
func (g *Gateway) isUnready() bool {
	return g.draining.Load() || g.storage.reachability.IsCutOff() || g.isTooStaleForKeys()
}
