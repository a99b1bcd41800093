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

// hedgeKind names the requests of this package in the budget of hedges.
const hedgeKind = "registers"

// Thrift has a round ask a majority of the members first, and others where these fail
// or are late (thrifty quorums: I. Moraru, "There Is More Consensus in Egalitarian
// Parliaments", 2013). It takes about half of the requests, bytes and writes of asking
// all; docs/design/platform.md has the measurement. A value is chosen by a majority
// either way; copies beyond the majority are given up.
type Thrift struct {
	// Local is the incarnation of the member in this process, which is asked first;
	// empty for none.
	Local string
	// Delay is how long members may take before another one is asked as well.
	Delay time.Duration
	// Reach is told which members answer, and says which to ask last.
	Reach *reach.Tracker
	// Hedges bounds the requests that are sent because members are late. Members that
	// are late together are overloaded, and more requests would make that worse.
	Hedges *limit.RetryBudget
	// Now is the clock of the budget.
	Now func() time.Time
}

// hedging returns what the exchanges of a client share. The zero value suits those that
// ask all members at once.
func (t *Thrift) hedging() multicast.Hedging {
	if t == nil {
		return multicast.Hedging{}
	}
	return multicast.Hedging{Kind: hedgeKind, Budget: t.Hedges, Reach: t.Reach, Now: t.Now}
}

// Rank orders the members for a key by rendezvous hashing (D. G. Thaler, C. V.
// Ravishankar, 1998); the member with the highest rank is asked first. All nodes compute
// the same ranks, so that they ask the members that hold the key's newest value.
func Rank(node, key string) uint64 { return xxhash.Sum64String(node + "/" + key) }

// memberOrder returns the indexes of the members in the memberOrder in which they are asked: the
// local member first, then the others by rank, those that failed lately last. Without
// Settings.Thrift all are asked at once, in the memberOrder of the view.
func (c *Client) memberOrder(view View, key string) []int {
	indexes := make([]int, len(view.Members))
	for i := range indexes {
		indexes[i] = i
	}
	thrift := c.settings.Thrift
	if thrift == nil {
		return indexes
	}
	isLocal := func(m Member) int {
		if m.Incarnation == thrift.Local {
			return 1
		}
		return 0
	}
	slices.SortFunc(indexes, func(i, j int) int {
		a, b := view.Members[i], view.Members[j]
		return cmp.Or(
			isLocal(b)-isLocal(a),
			thrift.Reach.Compare(a.Address, b.Address),
			cmp.Compare(Rank(b.Node, key), Rank(a.Node, key)),
		)
	})
	return indexes
}
