package shard

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/program"
)

// Node is what the membership says of one node.
type Node struct {
	Member        register.Member
	HasDataFolder bool
	// Leaving is set from the announcement of a planned stop.
	Leaving bool
	// GoneSince is when the node stopped answering; zero while it answers.
	GoneSince time.Time
	// Started is when this incarnation's process began.
	Started time.Time
}

// Situation is a snapshot of what one node knows.
type Situation struct {
	Now time.Time
	// WatchedSince is when this node began to watch the others: a node that it
	// has never heard of counts as gone since then.
	WatchedSince time.Time
	Views        []register.View
	Nodes        []Node
}

// PlanSettings limits what a plan does.
type PlanSettings struct {
	// Factor is the wanted number of members of a set.
	Factor int
	// GoneAfter is how long a node must have been gone before its replicas are
	// replaced, so that a short cut or a restart with data moves nothing.
	GoneAfter time.Duration
	// ReplacedAfter is the same where a node stands ready that began shortly
	// before the member stopped answering, or later: it is there to replace it.
	// Zero makes no difference of it.
	ReplacedAfter time.Duration
	// Moves limits the moves of one plan.
	Moves int
}

// Reason says why a set gets other members.
type Reason string

// Reasons in the order of their urgency.
const (
	ReasonForgotten      Reason = "a member has begun a new incarnation"
	ReasonGone           Reason = "a member is gone"
	ReasonLeaving        Reason = "a member is leaving"
	ReasonAddressChanged Reason = "a member has another address"
	ReasonUndersized     Reason = "the set is smaller than the replication factor"
	ReasonZoneSpread     Reason = "the set can be spread over more zones"
)

var urgency = []Reason{ReasonForgotten, ReasonGone, ReasonLeaving, ReasonAddressChanged, ReasonUndersized, ReasonZoneSpread}

// Move is one wanted change of a replica set.
type Move struct {
	View    register.View
	Members []register.Member
	Reason  Reason
	// Driver is the node that should drive the move: a hint.
	Driver string
}

// LostSet is a set that can't decide anything, since a majority of its members
// doesn't answer. It is never begun anew from empty.
type LostSet struct {
	View register.View
	// Wiped counts the members whose incarnation has ended, which can't
	// come back; Gone those that may.
	Wiped       int
	Unreachable int
}

// IsPermanent tells whether no return of nodes can bring the set back.
func (l LostSet) IsPermanent() bool { return len(l.View.Members)-l.Wiped < l.View.Quorum() }

// Outcome is what a plan decides.
type Outcome struct {
	Moves []Move
	Lost  []LostSet
}

// replacementLead is how long before a member stops answering the node that
// replaces it may have begun.
const replacementLead = 10 * time.Second

// planSlotLength is how long the order of moves and their drivers stay as they are. A
// move that can't be done, or a driver that can't do it, then gives way.
const planSlotLength = 30 * time.Second

// Plan decides which sets need other members. It is a pure function; nodes that
// know the same at about the same time make the same plan.
func Plan(situation Situation, settings PlanSettings) Outcome {
	p := planner{situation: situation, settings: settings, nodes: make(map[string]Node), sets: make(setsPerNode)}
	for _, view := range situation.Views {
		p.sets.update(nil, view.Members)
	}
	for _, node := range situation.Nodes {
		p.nodes[node.Member.Node] = node
	}
	p.usable = p.candidates()
	var outcome Outcome
	for _, view := range situation.Views {
		judged := p.assessMembers(view)
		if countAnswering(judged) < view.Quorum() {
			outcome.Lost = append(outcome.Lost, newLostSet(view, judged))
			continue
		}
		if move, isNeeded := p.planMove(view, judged); isNeeded {
			p.sets.update(view.Members, move.Members)
			outcome.Moves = append(outcome.Moves, move)
		}
	}
	slices.SortStableFunc(outcome.Moves, func(a, b Move) int {
		return cmp.Or(
			cmp.Compare(slices.Index(urgency, a.Reason), slices.Index(urgency, b.Reason)),
			cmp.Compare(xxhash.Sum64String(p.slotKey(a.View)), xxhash.Sum64String(p.slotKey(b.View))),
		)
	})
	outcome.Moves = outcome.Moves[:min(len(outcome.Moves), settings.Moves)]
	return outcome
}

type planner struct {
	situation Situation
	settings  PlanSettings
	nodes     map[string]Node
	// usable are the nodes that may become members.
	usable []Candidate
	// sets counts the sets of each node, the moves planned so far included.
	sets setsPerNode
}

// memberStatus is what is known of one member.
type memberStatus struct {
	member register.Member
	// reason to replace the member; empty to keep it.
	reason Reason
	// answers is set while the incarnation of the member answers.
	answers bool
}

func (p planner) assessMembers(view register.View) []memberStatus {
	judged := make([]memberStatus, len(view.Members))
	for index, member := range view.Members {
		judged[index] = p.assessMember(view, member)
	}
	return judged
}

func (p planner) assessMember(view register.View, member register.Member) memberStatus {
	node, isKnown := p.nodes[member.Node]
	goneSince := node.GoneSince
	if !isKnown {
		goneSince = p.situation.WatchedSince
	}
	judged := memberStatus{member: member, answers: goneSince.IsZero()}
	switch {
	case isKnown && node.Member.Incarnation != member.Incarnation:
		judged.reason, judged.answers = ReasonForgotten, false
	case !goneSince.IsZero() && p.situation.Now.Sub(goneSince) >= p.replacementDelay(view, goneSince):
		judged.reason = ReasonGone
	case !goneSince.IsZero():
	case node.Leaving:
		judged.reason = ReasonLeaving
	case node.Member != member:
		judged.reason = ReasonAddressChanged
	}
	return judged
}

// replacementDelay is how long a member of the set may be gone before it is replaced.
func (p planner) replacementDelay(view register.View, goneSince time.Time) time.Duration {
	if p.settings.ReplacedAfter == 0 {
		return p.settings.GoneAfter
	}
	for _, node := range p.situation.Nodes {
		isReady := node.GoneSince.IsZero() && !node.Leaving
		if isReady && !hasNode(view.Members, node.Member.Node) && node.Started.After(goneSince.Add(-replacementLead)) {
			return p.settings.ReplacedAfter
		}
	}
	return p.settings.GoneAfter
}

func countAnswering(judged []memberStatus) int {
	count := 0
	for _, one := range judged {
		if one.answers {
			count++
		}
	}
	return count
}

func newLostSet(view register.View, judged []memberStatus) LostSet {
	lost := LostSet{View: view}
	for _, one := range judged {
		switch {
		case one.reason == ReasonForgotten:
			lost.Wiped++
		case !one.answers:
			lost.Unreachable++
		}
	}
	return lost
}

// planMove returns the successor that the set needs, if there is one.
func (p planner) planMove(view register.View, judged []memberStatus) (Move, bool) {
	reason := p.mostUrgentReason(judged)
	members := p.successorMembers(view, judged)
	if reason == "" {
		members = p.spreadZones(view, members)
		reason = ReasonZoneSpread
	}
	if isOptional(reason) && countUnresponsive(judged) > 0 || !hasNewMember(view.Members, members) {
		return Move{}, false
	}
	return Move{View: view, Members: members, Reason: reason, Driver: p.chooseDriver(view)}, true
}

func hasNewMember(before, after []register.Member) bool {
	return slices.ContainsFunc(after, func(member register.Member) bool { return !slices.Contains(before, member) })
}

// mostUrgentReason returns the most urgent mostUrgentReason.
func (p planner) mostUrgentReason(judged []memberStatus) Reason {
	for _, reason := range urgency {
		if slices.ContainsFunc(judged, func(one memberStatus) bool { return one.reason == reason }) {
			return reason
		}
	}
	if len(judged) < p.settings.Factor {
		return ReasonUndersized
	}
	return ""
}

// successorMembers is the best set that can be had now. Each of its members answers,
// since a set that names one that doesn't is never proposed. One that is gone or
// another incarnation is replaced; the place of one that is only silent stays
// empty until it comes back or is gone; one that is leaving stays while nobody
// can stand in for it.
func (p planner) successorMembers(view register.View, judged []memberStatus) []register.Member {
	var kept, leaving []register.Member
	for _, one := range judged {
		switch {
		case !one.answers:
		case one.reason == ReasonLeaving:
			leaving = append(leaving, one.member)
		case one.reason == ReasonAddressChanged:
			kept = append(kept, p.nodes[one.member.Node].Member)
		default:
			kept = append(kept, one.member)
		}
	}
	filled := addMembers(view.Shard, p.settings.Factor-countUnresponsive(judged), kept, p.usable, p.sets)
	missing := max(len(view.Members)-countUnresponsive(judged)-len(filled), 0)
	return append(filled, leaving[:min(missing, len(leaving))]...)
}

// countUnresponsive counts the members that don't answer and may still come back.
func countUnresponsive(judged []memberStatus) int {
	count := 0
	for _, one := range judged {
		if !one.answers && one.reason == "" {
			count++
		}
	}
	return count
}

// isOptional tells a change that is only wished for: to leave a silent member out
// for it would cost more than it is worth.
func isOptional(reason Reason) bool { return reason == ReasonLeaving || reason == ReasonZoneSpread }

// candidates are the nodes that may become members.
func (p planner) candidates() []Candidate {
	var candidates []Candidate
	for _, node := range p.situation.Nodes {
		if node.GoneSince.IsZero() && !node.Leaving {
			candidates = append(candidates, Candidate{Member: node.Member, HasDataFolder: node.HasDataFolder})
		}
	}
	return candidates
}

// spreadZones replaces a member of a zone that has more than its part where another
// zone has a candidate.
func (p planner) spreadZones(view register.View, members []register.Member) []register.Member {
	for index, member := range members {
		if countInZone(members, member.Zone) <= zoneLimit(len(members)) {
			continue
		}
		others := slices.Delete(slices.Clone(members), index, index+1)
		filled := addMembers(view.Shard, len(members), others, p.usable, p.sets)
		if added := filled[len(filled)-1]; countInZone(others, added.Zone) < zoneLimit(len(members)) {
			return filled
		}
	}
	return members
}

func countInZone(members []register.Member, zone string) int {
	count := 0
	for _, member := range members {
		if member.Zone == zone {
			count++
		}
	}
	return count
}

// slotKey names a change of the set within the present slot.
func (p planner) slotKey(view register.View) string {
	slot := p.situation.Now.Unix() / int64(planSlotLength/time.Second)
	return fmt.Sprintf("%d/%d/%d", view.Shard, view.Epoch, slot)
}

// chooseDriver is the answering node with the highest affinity to the change.
func (p planner) chooseDriver(view register.View) string {
	key := p.slotKey(view)
	var best string
	for _, node := range p.situation.Nodes {
		name := node.Member.Node
		if !node.GoneSince.IsZero() || node.Leaving {
			continue
		}
		if best == "" || program.Affinity(name, key) > program.Affinity(best, key) {
			best = name
		}
	}
	return best
}
