package node

import (
	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/fleet"
	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/coordination/tenant"
	"github.com/marblering/marblering/protocol/callerapi"
)

// catalog answers questions about the configuration in force, each from the newest
// snapshot.
type catalog struct {
	holder *configuration.Holder
}

var (
	_ execution.Catalog = catalog{}
	_ callerapi.Tenants = catalog{}
)

// Model implements execution.Catalog.
func (c catalog) Model(name string) (execution.Model, bool) {
	model, found := c.holder.Current().Model(name)
	if !found {
		return execution.Model{}, false
	}
	return execution.Model{ContextTokens: model.ContextTokens, OutputTokens: model.DefaultMaxTokens}, true
}

// Adapter implements execution.Catalog.
func (c catalog) Adapter(name, model string) bool {
	adapter, found := c.holder.Current().Adapter(name)
	return found && adapter.Model == model
}

// TenantOf implements callerapi.Tenants.
func (c catalog) TenantOf(apiKey string) (string, bool) {
	found, known := c.holder.Current().TenantByKey(tenant.DigestOf(apiKey).String())
	if !known {
		return "", false
	}
	return found.Name, true
}

// weights returns the weights of the choice of an engine: the deployment's of
// latency and wasted cache, and the usual ones of all else.
func (c catalog) weights() routing.Weights {
	configured := c.holder.Current().Weights()
	weights := routing.LatencyWeights()
	weights.Latency = configured.Latency
	weights.WastedCache = configured.WastedCache
	return weights
}

// limits returns the limits that hold for all tenants.
func (c catalog) limits() configuration.Limits { return c.holder.Current().Limits() }

// bodyLimit returns the greatest size of a caller's request body, in bytes.
func (c catalog) bodyLimit() int64 { return int64(c.limits().MaxRequestBytes) }

// fleetEngines returns the engines that aren't stopped, as the fleet needs them.
func (c catalog) fleetEngines() []fleet.Engine {
	var engines []fleet.Engine
	for _, engine := range c.holder.Current().Engines() {
		if engine.Stopped {
			continue
		}
		engines = append(engines, fleet.Engine{
			Name:       engine.Name,
			Address:    engine.Address,
			Zone:       engine.Zone,
			Generation: engine.Generation,
			Role:       string(engine.Role),
			Models:     engine.Models,
			Adapters:   engine.Adapters,
			Leaving:    engine.Draining,
		})
	}
	return engines
}

// takesWork tells whether the engine at the address may get new work.
func (c catalog) takesWork(address string) bool {
	for _, engine := range c.holder.Current().Engines() {
		if engine.Address == address {
			return !engine.Draining && !engine.Stopped
		}
	}
	return false
}

// followEngines sets the fleet's engines to what the configuration says.
func (n *Node) followEngines() { n.fleet.SetEngines(catalog{n.holder}.fleetEngines()) }
