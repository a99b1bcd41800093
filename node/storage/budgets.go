package storage

import (
	"time"

	"github.com/google/uuid"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/transport/peer"
)

const (
	// registerTimeout bounds one request of a register's round. Chosen, not measured.
	registerTimeout = 400 * time.Millisecond
	// hedgeDelay is how long the members of a register's round may take before another
	// member is asked: a few times what one takes that isn't overloaded, and little
	// beside the time of a turn. Chosen, not measured.
	hedgeDelay = 80 * time.Millisecond
)

// buildBudgets makes this node a host of the budgets of programs and a holder of slots
// of tenants' quotas. Each process of a node is another holder and proposer.
func (n *Node) buildBudgets() {
	life := n.self.Node + "/" + uuid.NewString()
	bounds := register.DefaultSettings()
	bounds.RequestTimeout = registerTimeout
	bounds.Thrift = &register.Thrift{
		Local: n.self.Incarnation, Delay: hedgeDelay, Reach: reach.New(time.Now),
		Hedges: limit.NewRetryBudget(limit.HedgePolicy(), time.Now()), Now: time.Now,
	}
	transport := peer.NewLocalTransport(n.self.Incarnation, n.replica, n.peers)
	registers := register.NewClient(life, transport, n.lookup, register.SystemClock{}, newRandom(), bounds)
	n.ledger = tokenbudget.New(life, registers, n.views.Locate, tokenbudget.DefaultSettings(), time.Now, n.logger)
	n.budgets = tokenbudget.NewHost(n.ledger, time.Now)
	n.quotas = quota.NewHolder(life, n.self.Node, registers, time.Now, n.following)
}
