package membership

import (
	"slices"
	"time"
)

// State is the liveness of a node as this node sees it.
type State uint8

// States of a node.
const (
	// Alive nodes are neither suspected nor gone.
	Alive State = iota
	// Suspect nodes failed to respond to this node but aren't yet declared dead.
	Suspect
	// Gone nodes have departed or were declared dead.
	Gone
)

// String returns the state's name, as the logs contain it.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	default:
		return "gone"
	}
}

// Member is the state of one node as this node sees it.
type Member struct {
	Node        string
	Incarnation string
	// Address is the address for other nodes, CallerAddress the one for callers.
	Address       string
	CallerAddress string
	Zone          string
	State         State
	// Leaving is set by the node itself or by the platform's machine list.
	Leaving       bool
	HasDataFolder bool
	Started       time.Time
}

// Zone holds the live nodes of one zone.
type Zone struct {
	Name    string
	Members []Member
}

// Members is an immutable snapshot of the cluster. Callers must not modify the
// slices that it returns.
type Members struct {
	all               []Member
	live              []Member
	zones             []Zone
	byNode            map[string]int
	byIncarnation     map[string]int
	endedIncarnations map[string]struct{}
	engines           map[string]engineView
	settled           bool
}

type engineView struct {
	leaving   bool
	ejections int
}

// All returns every known node, including gone ones, ordered by name.
func (m *Members) All() []Member { return m.all }

// Live returns the nodes that aren't gone, including this one, ordered by name.
func (m *Members) Live() []Member { return m.live }

// ByZone returns the live nodes grouped by zone; zones and nodes are ordered by
// name.
func (m *Members) ByZone() []Zone { return m.zones }

// Node returns the latest incarnation of the node.
func (m *Members) Node(name string) (Member, bool) {
	position, found := m.byNode[name]
	if !found {
		return Member{}, false
	}
	return m.all[position], true
}

// Incarnation returns the member with the incarnation.
func (m *Members) Incarnation(incarnation string) (Member, bool) {
	position, found := m.byIncarnation[incarnation]
	if !found {
		return Member{}, false
	}
	return m.all[position], true
}

// Alive reports whether the incarnation is known and not gone.
func (m *Members) Alive(incarnation string) bool {
	member, found := m.Incarnation(incarnation)
	return found && member.State != Gone
}

// Gone reports whether the incarnation has ended: it departed, was replaced by
// another incarnation of its node, was declared dead, or is unknown although the
// view is Settled. Before the view is Settled, an unknown incarnation is neither
// Alive nor Gone.
func (m *Members) Gone(incarnation string) bool {
	member, found := m.Incarnation(incarnation)
	if found {
		return member.State == Gone
	}
	if _, found := m.endedIncarnations[incarnation]; found {
		return true
	}
	return m.settled
}

// Settled reports whether this node has been in contact with other nodes for long
// enough to know every live node.
func (m *Members) Settled() bool { return m.settled }

// EngineLeaving reports whether any observer marked the engine as leaving: a node,
// the engine itself or the platform's machine list.
func (m *Members) EngineLeaving(engine string) bool {
	return m.engines[engine].leaving
}

// EngineEjections returns how many nodes have stopped sending work to the engine
// because it fails or is slow for them.
func (m *Members) EngineEjections(engine string) int {
	return m.engines[engine].ejections
}

// LeavingEngines returns the sorted names for which EngineLeaving is true. As the
// machine list also contains nodes, a name may be that of a node.
func (m *Members) LeavingEngines() []string {
	var names []string
	for name, view := range m.engines {
		if view.leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (g *Gossip) publish() {
	members := &Members{
		byNode:            make(map[string]int, len(g.records)+1),
		byIncarnation:     make(map[string]int, len(g.records)+1),
		endedIncarnations: make(map[string]struct{}, len(g.endedIncarnations)),
		engines:           g.engineViews(),
		settled:           g.settled,
	}
	members.all = append(members.all, g.selfMember())
	for _, known := range g.records {
		members.all = append(members.all, g.member(known))
	}
	slices.SortFunc(members.all, compareMembers)
	for position, member := range members.all {
		members.byNode[member.Node] = position
		members.byIncarnation[member.Incarnation] = position
		if member.State != Gone {
			members.live = append(members.live, member)
		}
	}
	for incarnation := range g.endedIncarnations {
		members.endedIncarnations[incarnation] = struct{}{}
	}
	members.zones = groupByZone(members.live)
	g.members.Store(members)
}

func compareMembers(a, b Member) int {
	if a.Node < b.Node {
		return -1
	}
	if a.Node > b.Node {
		return 1
	}
	return 0
}

func groupByZone(live []Member) []Zone {
	var zones []Zone
	positions := map[string]int{}
	for _, member := range live {
		position, found := positions[member.Zone]
		if !found {
			position = len(zones)
			positions[member.Zone] = position
			zones = append(zones, Zone{Name: member.Zone})
		}
		zones[position].Members = append(zones[position].Members, member)
	}
	slices.SortFunc(zones, func(a, b Zone) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return zones
}
