package peer

import (
	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
)

// stubs are the generated clients for one address. Making them costs as much as
// a request.
type stubs struct {
	replica peerv1connect.ReplicaServiceClient
	node    peerv1connect.NodeServiceClient
	budget  peerv1connect.BudgetServiceClient
	mirror  peerv1connect.MirrorServiceClient
}

// maxStubs bounds the addresses that are remembered.
const maxStubs = 1024

func (c *Client) stubs(address string) *stubs {
	if known, found := c.known.Load(address); found {
		return known.(*stubs)
	}
	base := "http://" + address
	made := &stubs{
		replica: peerv1connect.NewReplicaServiceClient(c.http, base, c.options...),
		node:    peerv1connect.NewNodeServiceClient(c.http, base, c.options...),
		budget:  peerv1connect.NewBudgetServiceClient(c.http, base, c.options...),
		mirror:  peerv1connect.NewMirrorServiceClient(c.http, base, c.options...),
	}
	if c.count.Add(1) > maxStubs {
		c.known.Clear()
		c.count.Store(0)
	}
	c.known.Store(address, made)
	return made
}
