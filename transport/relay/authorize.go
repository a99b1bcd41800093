package relay

import (
	"github.com/marblering/marblering/coordination/tenant"
	"github.com/marblering/marblering/state/result"
)

// authorize looks up the tenant of the client's key. It runs before the body is read and
// again before each attempt, since the key may have been revoked while the request waited
// or the process was paused.
func (c *call) authorize() *result.Error {
	if !c.routing.needsKey {
		return nil
	}
	if failure := c.checkFreshness(); failure != nil {
		return failure
	}
	// The table is read after the freshness check, so that it is at least as new as the
	// configuration that was checked, even if the process is paused in between.
	table := c.handler.options.Tables.Table()
	owner, known := table.Tenant(c.input.key)
	if !known {
		return missingKey.toError(table.Version(), c.handler.options.isNewest(table))
	}
	c.grants.tenant = owner
	return nil
}

// checkFreshness rejects requests with keys while the configuration isn't confirmed to be
// recent enough.
func (c *call) checkFreshness() *result.Error {
	configurationFreshness := c.handler.options.Freshness
	if configurationFreshness == nil || configurationFreshness.Limit() == 0 {
		return nil
	}
	staleness, isKnown := configurationFreshness.Staleness()
	return freshness{staleness, isKnown, configurationFreshness.Limit()}.check(configurationFreshness.Source)
}

// reauthorize calls authorize before an attempt. A request whose response has begun
// continues, since its key was valid at the time.
func (c *call) reauthorize() *result.Error {
	if c.response.headerWritten {
		return nil
	}
	return c.authorize()
}

// tenantName returns the name of the tenant, or "" if the route needs no key.
func (c *call) tenantName() string {
	if c.grants.tenant == nil {
		return ""
	}
	return c.grants.tenant.Name
}

// digestKey replaces the key by its digest, so that the key can't be logged.
func (c *call) digestKey() {
	c.input.key = tenant.DigestOf(c.input.info.APIKey)
	c.input.info.APIKey = ""
}
