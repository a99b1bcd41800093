package storage

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/streamorigin"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/transport/peer"
)

const (
	// registerRequestTimeout limits one request of a register's round.
	registerRequestTimeout = 400 * time.Millisecond
	// registerHedgeDelay is how long to wait for answers in a register's round before
	// sending a hedged request to another member. It is a few times the usual time of a
	// request.
	registerHedgeDelay = 80 * time.Millisecond
)

// buildBudgets creates the host of program budgets, the origins of streams and the holder
// of tenants' quota slots.
// Each process of a node is a separate holder and proposer.
func (n *Node) buildBudgets() {
	holderID := n.self.Node + "/" + uuid.NewString()
	registerSettings := register.DefaultSettings()
	registerSettings.RequestTimeout = registerRequestTimeout
	registerSettings.ThriftyQuorum = &register.ThriftyQuorum{
		Local: n.self.Incarnation, HedgeDelay: registerHedgeDelay, Reach: reach.New(time.Now),
		HedgeBudget: limit.NewRetryBudget(limit.DefaultHedgePolicy(), time.Now()), Now: time.Now,
	}
	transport := peer.NewLocalTransport(n.self.Incarnation, n.replica, n.peers)
	registers := register.NewClient(holderID, transport, n.lookup, register.SystemClock{}, newRandom(), registerSettings)
	ledgerSettings := tokenbudget.DefaultSettings()
	ledgerSettings.IsMember = n.isMember
	n.ledger = tokenbudget.NewLedger(holderID, registers, n.views.Locate, ledgerSettings, time.Now, n.logger)
	n.budgets = tokenbudget.NewHost(n.ledger, time.Now)
	n.origins = streamorigin.NewTable(time.Now)
	n.quotas = quota.NewHolder(holderID, n.self.Node, registers, time.Now, n.limitedLogger)
}

// isMember reports whether the node is a member of the program's replica set, as far as this
// node knows.
func (n *Node) isMember(program, node string) bool {
	view, known := n.views.View(n.views.Locate(program))
	return !known || slices.ContainsFunc(view.Members, func(member register.Member) bool { return member.Node == node })
}
