package gateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/marblering/marblering/telemetry"
)

// What the checks of readiness report.
var (
	errNoConfiguration    = errors.New("no configuration yet")
	errNoInstances        = errors.New("the instances aren't listed yet")
	errCutOff             = errors.New("no storage node can be reached")
	errStaleConfiguration = errors.New("the configuration isn't proved to be new enough for keys")
	errDraining           = errors.New("draining")
)

// operatorHandler serves metrics, health and readiness.
func (g *Gateway) operatorHandler() http.Handler {
	readiness := telemetry.NewReadiness()
	readiness.Add("configuration", g.checkConfiguration)
	readiness.Add("instances", g.checkInstances)
	readiness.Add("storage", g.checkStorage)
	readiness.Add("proof", g.checkProof)
	readiness.Add("serving", g.checkServing)
	return telemetry.NewHandlerAt(g.settings.ReadyPath, g.metrics, readiness)
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

// isUnready tells that callers are better served elsewhere: this gateway is being
// stopped, reaches no storage node and so can only refuse turns, or can't prove keys
// valid. Callers keep their connections: without a sign they come back to it with each
// turn.
func (g *Gateway) isUnready() bool {
	return g.draining.Load() || g.storage.reachability.IsCutOff() || g.isTooStaleForKeys()
}
