package mirror

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/program"
)

// A holder that didn't answer is asked last for firstAvoidance, and twice as long
// each further time, up to longestAvoidance. One that answered and is of no use now,
// mostly because it has lost the store, is asked last for uselessAvoidance only: its
// answer costs little, and when it is of use again has to be noticed soon.
const (
	firstAvoidance   = 500 * time.Millisecond
	longestAvoidance = 3 * time.Second
	uselessAvoidance = 250 * time.Millisecond
)

// Holders are the storage nodes that a node follows the store through, in its
// order of preference. It is safe for concurrent use.
type Holders struct {
	list func() []netip.AddrPort
	now  func() time.Time

	mutex   sync.Mutex
	avoided map[netip.AddrPort]avoidance
}

// avoidance is how long a holder is asked last.
type avoidance struct {
	length time.Duration
	until  time.Time
}

// NewHolders makes the holders of the list, which may change.
func NewHolders(list func() []netip.AddrPort, now func() time.Time) *Holders {
	return &Holders{list: list, now: now, avoided: make(map[netip.AddrPort]avoidance)}
}

// pick returns the first holder that isn't avoided.
func (h *Holders) pick() (netip.AddrPort, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, holder := range h.list() {
		if !h.now().Before(h.avoided[holder].until) {
			return holder, true
		}
	}
	return netip.AddrPort{}, false
}

// isEmpty tells that there are no holders, avoided ones included.
func (h *Holders) isEmpty() bool { return len(h.list()) == 0 }

// failed notes a holder that didn't answer. While it is avoided that changes nothing:
// the calls of all kinds fail at the same moment, and were each of them to double the
// time, a holder that refused connections for 0.3 s would be avoided for 3 s.
func (h *Holders) failed(holder netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.now().Before(h.avoided[holder].until) {
		return
	}
	length := min(max(2*h.avoided[holder].length, firstAvoidance), longestAvoidance)
	h.avoided[holder] = avoidance{length: length, until: h.now().Add(length)}
}

// useless notes a holder that answered what can't be used.
func (h *Holders) useless(holder netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.avoided[holder] = avoidance{until: h.now().Add(uselessAvoidance)}
}

func (h *Holders) answered(holder netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.avoided, holder)
}

// Near orders storage nodes for the node that has the name: those of its zone
// first, and within a zone in an order of its own, so that nodes spread.
func Near(zone, name string, members []register.Member) []netip.AddrPort {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b register.Member) int {
		return cmp.Or(
			compareZones(zone, a, b),
			cmp.Compare(program.Affinity(b.Node, name), program.Affinity(a.Node, name)),
		)
	})
	return addresses(ordered)
}

const (
	// leastAskers is how many storage nodes ask the store at least. It is one more
	// than the deployments let be lost at once (two), so that one is left.
	leastAskers = 3
	// membersPerAsker bounds the nodes that follow through one that asks. Each holds
	// two calls of 0.3 s and three of 2 s there, 8 a second; 15 of them come to 120.
	membersPerAsker = 16
)

// Upstreams returns the storage nodes that a storage node follows the store
// through, its own zone's at the head: few ask the store, since each call is work for
// it, and held calls end every few seconds though nothing has changed. With three
// such nodes in place of one in each of five zones the quiet start of 36 storage nodes
// costs the store 84 to 92 calls in place of 140 (virtual time, one kind, 140 instances
// that register). Nodes that ask the store themselves have no upstreams. Before any member
// is known the seeds take their place.
func Upstreams(self register.Member, members []register.Member, seeds []netip.AddrPort) []netip.AddrPort {
	if len(members) == 0 {
		return seedUpstreams(self, seeds)
	}
	asking := askers(members)
	isSelf := func(member register.Member) bool { return member.Node == self.Node }
	if slices.ContainsFunc(asking, isSelf) {
		return nil
	}
	return Near(self.Zone, self.Node, asking)
}

// askers chooses the members that ask the store, from as many zones as it can. All
// nodes that know the same members choose the same.
func askers(members []register.Member) []register.Member {
	ordered := alternateZones(members)
	wanted := max(leastAskers, (len(members)+membersPerAsker-1)/membersPerAsker)
	return ordered[:min(len(ordered), wanted)]
}

// alternateZones orders members by name so that the first of each zone come before
// the second of any.
func alternateZones(members []register.Member) []register.Member {
	byName := slices.SortedFunc(slices.Values(members), func(a, b register.Member) int {
		return strings.Compare(a.Node, b.Node)
	})
	seen := make(map[string]int)
	rank := make(map[string]int, len(byName))
	for _, member := range byName {
		rank[member.Node] = seen[member.Zone]
		seen[member.Zone]++
	}
	slices.SortStableFunc(byName, func(a, b register.Member) int {
		return cmp.Compare(rank[a.Node], rank[b.Node])
	})
	return byName
}

// seedUpstreams leaves the seeds to ask the store themselves.
func seedUpstreams(self register.Member, seeds []netip.AddrPort) []netip.AddrPort {
	for _, seed := range seeds {
		if seed.String() == self.Address {
			return nil
		}
	}
	return Spread(self.Node, seeds)
}

// Spread orders addresses for the node that has the name, each node in an order of
// its own.
func Spread(name string, listed []netip.AddrPort) []netip.AddrPort {
	return slices.SortedFunc(slices.Values(listed), func(a, b netip.AddrPort) int {
		return cmp.Compare(program.Affinity(b.String(), name), program.Affinity(a.String(), name))
	})
}

// compareZones puts members of the zone first.
func compareZones(zone string, a, b register.Member) int {
	switch {
	case (a.Zone == zone) == (b.Zone == zone):
		return 0
	case a.Zone == zone:
		return -1
	}
	return 1
}

// addresses leaves out what is no address.
func addresses(members []register.Member) []netip.AddrPort {
	found := make([]netip.AddrPort, 0, len(members))
	for _, member := range members {
		if address, err := netip.ParseAddrPort(member.Address); err == nil {
			found = append(found, address)
		}
	}
	return found
}
