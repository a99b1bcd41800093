package relay

import (
	"github.com/marblering/marblering/coordination/tenant"
	"github.com/marblering/marblering/state/result"
)

// authorize finds the tenant whose key the caller showed. It is asked at the arrival
// of a request, before its body is read, and again whenever the request is about to
// leave for a back end: it may have waited, the process may have stood still, and the
// key may have been taken away meanwhile.
func (c *call) authorize() *result.Error {
	if !c.basis.needsKey {
		return nil
	}
	if failure := c.checkProof(); failure != nil {
		return failure
	}
	// The table comes after the proof: it is at least as new, however long the process
	// stands still in between.
	table := c.handler.options.Tables.Table()
	owner, known := table.Tenant(c.asked.key)
	if !known {
		return missingKey.refusal(table.Version(), c.handler.options.Certain())
	}
	c.granted.tenant = owner
	return nil
}

// checkProof refuses requests with keys while nothing proves the configuration new
// enough.
func (c *call) checkProof() *result.Error {
	proof := c.handler.options.Proof
	if proof == nil || proof.Limit() == 0 {
		return nil
	}
	staleness, isKnown := proof.Staleness()
	return freshness{staleness, isKnown, proof.Limit()}.refusal(proof.Source)
}

// reauthorize is authorize for a request that is about to leave. What is already
// being answered goes on: the caller was let in while its key was valid.
func (c *call) reauthorize() *result.Error {
	if c.reply.began {
		return nil
	}
	return c.authorize()
}

func (c *call) tenantName() string {
	if c.granted.tenant == nil {
		return ""
	}
	return c.granted.tenant.Name
}

// takeKey keeps the key's digest in place of the key.
func (c *call) takeKey() {
	c.asked.key = tenant.DigestOf(c.asked.facts.APIKey)
	c.asked.facts.APIKey = ""
}
