package relay

import (
	"github.com/marblering/marblering/coordination/tenant"
	"github.com/marblering/marblering/state/result"
)

// authorize finds the tenant that owns the client's key. It is called when a request
// arrives, before its body is read, and again before each attempt: the request may have
// waited, or the process may have been paused, and the key may have been revoked meanwhile.
func (c *call) authorize() *result.Error {
	if !c.routing.needsKey {
		return nil
	}
	if failure := c.checkFreshness(); failure != nil {
		return failure
	}
	// The table is read after the proof, so that it is at least as new, however long the
	// process is paused in between.
	table := c.handler.options.Tables.Table()
	owner, known := table.Tenant(c.input.key)
	if !known {
		return missingKey.toError(table.Version(), c.handler.options.Certain())
	}
	c.grants.tenant = owner
	return nil
}

// checkFreshness refuses requests with keys while nothing proves the configuration new
// enough.
func (c *call) checkFreshness() *result.Error {
	proof := c.handler.options.Proof
	if proof == nil || proof.Limit() == 0 {
		return nil
	}
	staleness, isKnown := proof.Staleness()
	return freshness{staleness, isKnown, proof.Limit()}.check(proof.Source)
}

// reauthorize calls authorize before an attempt. A request that is already being answered
// goes on, since its key was valid when it began.
func (c *call) reauthorize() *result.Error {
	if c.response.headerWritten {
		return nil
	}
	return c.authorize()
}

// tenantName is empty where the route needs no key.
func (c *call) tenantName() string {
	if c.grants.tenant == nil {
		return ""
	}
	return c.grants.tenant.Name
}

// digestKey replaces the key by its digest, so that the key can't be logged.
func (c *call) digestKey() {
	c.input.key = tenant.DigestOf(c.input.facts.APIKey)
	c.input.facts.APIKey = ""
}
