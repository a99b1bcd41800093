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

// Node is the membership state of one node.
type Node struct {
	Member        register.Member
	HasDataFolder bool
	// Leaving is set once the node has announced a planned stop.
	Leaving bool
	// GoneSince is when the node stopped answering, or zero while it answers.
	GoneSince time.Time
	// Started is when the process of this incarnation started.
	Started time.Time
}

// ClusterState is a snapshot of the cluster as one node knows it.
type ClusterState struct {
	Now time.Time
	// ObservedSince is when this node started to watch the others. A node that it has never
	// heard of counts as gone since then.
	ObservedSince time.Time
	Views         []register.View
	Nodes         []Node
}

// PlanSettings configures Plan.
type PlanSettings struct {
	// ReplicationFactor is the replication factor: the wanted number of members of a set.
	ReplicationFactor int
	// ReplaceAfter is how long a node must have been gone before its replicas are replaced, so
	// that short network outages and restarts with data move nothing.
	ReplaceAfter time.Duration
	// ReplaceAfterStandby applies instead of ReplaceAfter if there is a usable node outside the set
	// that started shortly before the member stopped answering, or later, and therefore is
	// probably its replacement. Zero disables it.
	ReplaceAfterStandby time.Duration
	// MaxMoves limits the number of moves in one plan.
	MaxMoves int
}

// Reason says why a replica set needs other members.
type Reason string

// Reasons, most urgent first.
const (
	ReasonNewIncarnation Reason = "a member has begun a new incarnation"
	ReasonGone           Reason = "a member is gone"
	ReasonLeaving        Reason = "a member is leaving"
	ReasonAddressChanged Reason = "a member has another address"
	ReasonUndersized     Reason = "the set is smaller than the replication factor"
	ReasonZoneSpread     Reason = "the set can be spread over more zones"
)

// isLoss reports whether the data of a member is lost or out of reach.
func (r Reason) isLoss() bool { return r == ReasonNewIncarnation || r == ReasonGone }

var reasonsByUrgency = []Reason{ReasonNewIncarnation, ReasonGone, ReasonLeaving, ReasonAddressChanged, ReasonUndersized, ReasonZoneSpread}

// Move is a planned change of the members of a replica set.
type Move struct {
	View    register.View
	Members []register.Member
	Reason  Reason
	// Driver is the node that should drive the move. It is only a hint.
	Driver string
}

// LostSet is a replica set that can't decide anything because a majority of its members
// doesn't answer. It is never recreated empty.
type LostSet struct {
	View register.View
	// Wiped counts the members whose node restarted as a new incarnation, without its
	// data. Unreachable counts those that may return with their data.
	Wiped       int
	Unreachable int
}

// IsPermanent reports whether the set lacks a majority even if all unreachable members return.
func (l LostSet) IsPermanent() bool { return len(l.View.Members)-l.Wiped < l.View.Quorum() }

// PlanResult is the result of Plan.
type PlanResult struct {
	Moves []Move
	Lost  []LostSet
}

// replacementLead is how long before a member stops answering a node may have started and
// still count as its replacement.
const replacementLead = 10 * time.Second

// planSlotLength is how long the order of moves and their drivers stay the same. After that
// they change, so that an impossible move or a broken driver doesn't block the others.
const planSlotLength = 30 * time.Second

// Plan decides which replica sets need other members. It is a pure function: nodes that know
// the same and call it at about the same time get the same plan.
func Plan(situation ClusterState, settings PlanSettings) PlanResult {
	p := planner{situation: situation, settings: settings, nodes: make(map[string]Node), sets: make(setsPerNode)}
	for _, view := range situation.Views {
		p.sets.update(nil, view.Members)
	}
	for _, node := range situation.Nodes {
		p.nodes[node.Member.Node] = node
	}
	p.usable = p.candidates()
	var outcome PlanResult
	for _, view := range situation.Views {
		statuses := p.assessMembers(view)
		if countAnswering(statuses) < view.Quorum() {
			outcome.Lost = append(outcome.Lost, newLostSet(view, statuses))
			continue
		}
		if move, isNeeded := p.planMove(view, statuses); isNeeded {
			p.sets.update(view.Members, move.Members)
			outcome.Moves = append(outcome.Moves, move)
		}
	}
	slices.SortStableFunc(outcome.Moves, func(a, b Move) int {
		return cmp.Or(
			cmp.Compare(slices.Index(reasonsByUrgency, a.Reason), slices.Index(reasonsByUrgency, b.Reason)),
			cmp.Compare(xxhash.Sum64String(p.slotKey(a.View)), xxhash.Sum64String(p.slotKey(b.View))),
		)
	})
	outcome.Moves = outcome.Moves[:min(len(outcome.Moves), settings.MaxMoves)]
	return outcome
}

type planner struct {
	situation ClusterState
	settings  PlanSettings
	nodes     map[string]Node
	// usable holds the nodes that may become members.
	usable []Candidate
	// sets counts the sets of each node, including the moves planned so far.
	sets setsPerNode
}

// memberStatus is the state of one member of a set.
type memberStatus struct {
	member register.Member
	// reason is why the member should be replaced; empty to keep it.
	reason Reason
	// answers is set if the member's incarnation answers.
	answers bool
}

func (p planner) assessMembers(view register.View) []memberStatus {
	statuses := make([]memberStatus, len(view.Members))
	for index, member := range view.Members {
		statuses[index] = p.assessMember(view, member)
	}
	return statuses
}

func (p planner) assessMember(view register.View, member register.Member) memberStatus {
	node, isKnown := p.nodes[member.Node]
	goneSince := node.GoneSince
	if !isKnown {
		goneSince = p.situation.ObservedSince
	}
	status := memberStatus{member: member, answers: goneSince.IsZero()}
	switch {
	case isKnown && node.Member.Incarnation != member.Incarnation:
		status.reason, status.answers = ReasonNewIncarnation, false
	case !goneSince.IsZero() && p.situation.Now.Sub(goneSince) >= p.replacementDelay(view, goneSince):
		status.reason = ReasonGone
	case !goneSince.IsZero():
	case node.Leaving:
		status.reason = ReasonLeaving
	case node.Member != member:
		status.reason = ReasonAddressChanged
	}
	return status
}

// replacementDelay returns how long a member of the set may be gone before it is replaced.
func (p planner) replacementDelay(view register.View, goneSince time.Time) time.Duration {
	if p.settings.ReplaceAfterStandby == 0 {
		return p.settings.ReplaceAfter
	}
	for _, node := range p.situation.Nodes {
		isReady := node.GoneSince.IsZero() && !node.Leaving
		if isReady && !hasNode(view.Members, node.Member.Node) && node.Started.After(goneSince.Add(-replacementLead)) {
			return p.settings.ReplaceAfterStandby
		}
	}
	return p.settings.ReplaceAfter
}

func countAnswering(statuses []memberStatus) int {
	count := 0
	for _, status := range statuses {
		if status.answers {
			count++
		}
	}
	return count
}

func newLostSet(view register.View, statuses []memberStatus) LostSet {
	lost := LostSet{View: view}
	for _, status := range statuses {
		switch {
		case status.reason == ReasonNewIncarnation:
			lost.Wiped++
		case !status.answers:
			lost.Unreachable++
		}
	}
	return lost
}

// planMove returns the change that the set needs, if any.
func (p planner) planMove(view register.View, statuses []memberStatus) (Move, bool) {
	reason := p.mostUrgentReason(statuses)
	members := p.successorMembers(view, statuses)
	if reason == "" {
		members = p.spreadZones(view, members)
		reason = ReasonZoneSpread
	}
	if isOptional(reason) && countUnresponsive(statuses) > 0 || !hasNewMember(view.Members, members) {
		return Move{}, false
	}
	return Move{View: view, Members: members, Reason: reason, Driver: p.chooseDriver(view)}, true
}

func hasNewMember(before, after []register.Member) bool {
	return slices.ContainsFunc(after, func(member register.Member) bool { return !slices.Contains(before, member) })
}

// mostUrgentReason returns the most urgent reason to change the set, or "" if there is none.
func (p planner) mostUrgentReason(statuses []memberStatus) Reason {
	for _, reason := range reasonsByUrgency {
		if slices.ContainsFunc(statuses, func(status memberStatus) bool { return status.reason == reason }) {
			return reason
		}
	}
	if len(statuses) < p.settings.ReplicationFactor {
		return ReasonUndersized
	}
	return ""
}

// successorMembers returns the best members that are available now. All of them answer,
// since Drive requires that of every wanted member. Members that are gone or have a new
// incarnation are replaced. The place of one that has only just stopped answering stays
// empty until it returns or counts as gone. A leaving node keeps its place, also as a new
// incarnation, while no other node can take it.
func (p planner) successorMembers(view register.View, statuses []memberStatus) []register.Member {
	var kept, leaving []register.Member
	for _, status := range statuses {
		switch {
		case p.isLeavingIncarnation(status):
			leaving = append(leaving, p.nodes[status.member.Node].Member)
		case !status.answers:
		case status.reason == ReasonLeaving:
			leaving = append(leaving, status.member)
		case status.reason == ReasonAddressChanged:
			kept = append(kept, p.nodes[status.member.Node].Member)
		default:
			kept = append(kept, status.member)
		}
	}
	filled := addMembers(view.Shard, p.settings.ReplicationFactor-countUnresponsive(statuses), kept, p.usable, p.sets)
	missing := max(len(view.Members)-countUnresponsive(statuses)-len(filled), 0)
	return append(filled, leaving[:min(missing, len(leaving))]...)
}

// isLeavingIncarnation reports whether the member is a leaving node that has begun a new
// incarnation.
func (p planner) isLeavingIncarnation(status memberStatus) bool {
	node := p.nodes[status.member.Node]
	return status.reason == ReasonNewIncarnation && node.Leaving && node.GoneSince.IsZero()
}

// countUnresponsive counts the members that don't answer but haven't been gone long enough
// to be replaced.
func countUnresponsive(statuses []memberStatus) int {
	count := 0
	for _, status := range statuses {
		if !status.answers && status.reason == "" {
			count++
		}
	}
	return count
}

// isOptional reports whether the change may be postponed. An optional change isn't worth
// removing an unresponsive member from the set.
func isOptional(reason Reason) bool { return reason == ReasonLeaving || reason == ReasonZoneSpread }

// candidates returns the nodes that may become members.
func (p planner) candidates() []Candidate {
	var candidates []Candidate
	for _, node := range p.situation.Nodes {
		if node.GoneSince.IsZero() && !node.Leaving {
			candidates = append(candidates, Candidate{Member: node.Member, HasDataFolder: node.HasDataFolder})
		}
	}
	return candidates
}

// spreadZones replaces a member in a zone that exceeds its limit if a zone below the limit
// has a candidate.
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

// slotKey identifies a change of the view in the current slot of planSlotLength.
func (p planner) slotKey(view register.View) string {
	slot := p.situation.Now.Unix() / int64(planSlotLength/time.Second)
	return fmt.Sprintf("%d/%d/%d", view.Shard, view.Epoch, slot)
}

// chooseDriver returns the answering node with the highest affinity to the change. Members of
// the set come first: they know its view and hold its data.
func (p planner) chooseDriver(view register.View) string {
	key := p.slotKey(view)
	var best string
	var bestIsMember bool
	for _, node := range p.situation.Nodes {
		name := node.Member.Node
		if !node.GoneSince.IsZero() || node.Leaving {
			continue
		}
		isMember := slices.Contains(view.Members, node.Member)
		switch {
		case best == "", isMember && !bestIsMember,
			isMember == bestIsMember && program.Affinity(name, key) > program.Affinity(best, key):
			best, bestIsMember = name, isMember
		}
	}
	return best
}
