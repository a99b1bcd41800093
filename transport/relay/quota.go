package relay

import (
	"context"

	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/state/result"
)

// takePermit takes a permit from the tenant's quota. It precedes all other steps that cause
// work on other nodes.
func (c *call) takePermit(ctx context.Context) *result.Error {
	if c.grants.tenant == nil {
		return nil
	}
	started := c.handler.options.Now()
	permit, failure := c.handler.options.Quotas.Take(ctx, quota.Request{
		Tenant: c.grants.tenant.Name, Rate: c.grants.tenant.Rate, Version: c.routing.configVersion,
		Program: c.input.info.Program, Kind: c.routing.route.Name,
	})
	c.timing.permitWait = c.handler.options.Now().Sub(started)
	c.grants.permit = permit
	return failure
}

// returnUnusedPermit returns the permit of a request that no backend ran, so that it doesn't
// count against the quota.
func (c *call) returnUnusedPermit() {
	if !c.attempts.reachedBackend {
		c.grants.permit.Return()
	}
}
