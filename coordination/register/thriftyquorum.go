package register

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/multicast"
	"github.com/marblering/marblering/coordination/reach"
)

// hedgeKind identifies the requests of this package in the hedge budget.
const hedgeKind = "registers"

// ThriftyQuorum configures thrifty quorums: a round asks a majority of the members first, and
// others if these fail or are late (I. Moraru, "There Is More Consensus in Egalitarian
// Parliaments", 2013). This takes about half of the requests, bytes and writes of asking
// all members. A value is still chosen by a majority; what is saved are the copies beyond
// it. docs/design/platform.md has the measurement.
type ThriftyQuorum struct {
	// Local is the incarnation of the member in this process, which is asked first; empty
	// if there is none.
	Local string
	// HedgeDelay is the time after which another member is asked if those asked are late.
	HedgeDelay time.Duration
	// Reach records which members answer and determines which to ask last.
	Reach *reach.Tracker
	// HedgeBudget limits the requests that are sent because members are late. If all members
	// are late, they are overloaded, and more requests would make that worse.
	HedgeBudget *limit.RetryBudget
	// Now is the clock of the hedge budget.
	Now func() time.Time
}

// hedging returns the hedging configuration that a client's exchanges share; zero if all
// members are asked at once.
func (t *ThriftyQuorum) hedging() multicast.Hedging {
	if t == nil {
		return multicast.Hedging{}
	}
	return multicast.Hedging{BudgetKey: hedgeKind, Budget: t.HedgeBudget, Tracker: t.Reach, Now: t.Now}
}

// Rank ranks a node for a key by rendezvous hashing (D. G. Thaler, C. V. Ravishankar,
// 1998); the node with the highest rank is asked first. All nodes compute the same ranks,
// so they ask the members that hold the key's newest value.
func Rank(node, key string) uint64 { return xxhash.Sum64String(node + "/" + key) }

// memberOrder returns the indexes of the members in the order in which they are asked: the
// local member first, then the others by rank, with those that failed lately last. Without
// Settings.ThriftyQuorum all are asked at once, in the order of the view.
func (c *Client) memberOrder(view View, key string) []int {
	indexes := make([]int, len(view.Members))
	for i := range indexes {
		indexes[i] = i
	}
	thrifty := c.settings.ThriftyQuorum
	if thrifty == nil {
		return indexes
	}
	isLocal := func(m Member) int {
		if m.Incarnation == thrifty.Local {
			return 1
		}
		return 0
	}
	slices.SortFunc(indexes, func(i, j int) int {
		a, b := view.Members[i], view.Members[j]
		return cmp.Or(
			isLocal(b)-isLocal(a),
			thrifty.Reach.Compare(a.Address, b.Address),
			cmp.Compare(Rank(b.Node, key), Rank(a.Node, key)),
		)
	})
	return indexes
}
