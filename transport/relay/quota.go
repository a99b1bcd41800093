package relay

import (
	"context"

	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/state/result"
)

// takePermit has the request let in by its tenant's quota. It is asked before anything
// else that costs other nodes work.
func (c *call) takePermit(ctx context.Context) *result.Error {
	if c.granted.tenant == nil {
		return nil
	}
	began := c.handler.options.Now()
	permit, failure := c.handler.options.Quotas.Take(ctx, quota.Request{
		Tenant: c.granted.tenant.Name, Rate: c.granted.tenant.Rate, Version: c.basis.version,
		Program: c.asked.facts.Program, Kind: c.basis.route.Name,
	})
	c.times.permitted = c.handler.options.Now().Sub(began)
	c.granted.permit = permit
	return failure
}

// settlePermit gives the permit of a request back that no back end ran, so that it
// counts for nothing.
func (c *call) settlePermit() {
	if !c.tried.reached {
		c.granted.permit.Return()
	}
}
