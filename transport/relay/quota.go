package relay

import (
	"context"

	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/state/result"
)

// takePermit asks for a permit of the tenant's quota. It is called before anything else
// that causes work at other nodes.
func (c *call) takePermit(ctx context.Context) *result.Error {
	if c.grants.tenant == nil {
		return nil
	}
	began := c.handler.options.Now()
	permit, failure := c.handler.options.Quotas.Take(ctx, quota.Request{
		Tenant: c.grants.tenant.Name, Rate: c.grants.tenant.Rate, Version: c.routing.configVersion,
		Program: c.input.facts.Program, Kind: c.routing.route.Name,
	})
	c.timing.permitWait = c.handler.options.Now().Sub(began)
	c.grants.permit = permit
	return failure
}

// returnUnusedPermit returns the permit of a request that no back end ran, so that it doesn't
// count.
func (c *call) returnUnusedPermit() {
	if !c.attempts.reachedBackend {
		c.grants.permit.Return()
	}
}
