package shard

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/program"
)

// Candidate is a node that may replicate shards.
type Candidate struct {
	Member        register.Member
	HasDataFolder bool
}

// AssignAll chooses the initial members of all shards. It limits the members of a set in
// one zone to the number that the set may lose, then prefers nodes with a data folder,
// then nodes that are in the fewest sets.
func AssignAll(shards uint32, factor int, candidates []Candidate) [][]register.Member {
	sets := make(setsPerNode)
	all := make([][]register.Member, 0, shards)
	for shard := range shards {
		members := addMembers(shard, factor, nil, candidates, sets)
		sets.update(nil, members)
		all = append(all, members)
	}
	return all
}

// setsPerNode counts the replica sets that each node is a member of, by node name.
type setsPerNode map[string]int

// update records that the members of a set change from before to after.
func (s setsPerNode) update(before, after []register.Member) {
	for _, member := range before {
		s[member.Node]--
	}
	for _, member := range after {
		s[member.Node]++
	}
}

// zoneLimit returns how many members of a set one zone may hold: as many as leave a
// majority in other zones, but at least one.
func zoneLimit(factor int) int { return max((factor-1)/2, 1) }

// addMembers adds the best candidates to the kept members until the set has factor members.
func addMembers(shard uint32, factor int, kept []register.Member, candidates []Candidate, sets setsPerNode) []register.Member {
	members := slices.Clone(kept)
	if len(members) >= factor {
		// The usual case; every node plans every set each second, so skip the ranking.
		return members
	}
	ranking := candidateRanking{key: strconv.FormatUint(uint64(shard), 10), limit: zoneLimit(factor), sets: sets, zones: make(map[string]int)}
	for _, member := range members {
		ranking.zones[member.Zone]++
	}
	remaining := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return hasNode(members, c.Member.Node) })
	for len(members) < factor && len(remaining) > 0 {
		chosen := slices.MinFunc(remaining, ranking.compare).Member
		ranking.zones[chosen.Zone]++
		members = append(members, chosen)
		remaining = slices.DeleteFunc(remaining, func(c Candidate) bool { return c.Member.Node == chosen.Node })
	}
	return members
}

// candidateRanking ranks the candidates for one set.
type candidateRanking struct {
	key   string
	limit int
	sets  setsPerNode
	// zones counts the members chosen so far by zone.
	zones map[string]int
}

// compare orders better candidates first. Zones within the limit rank equally: otherwise a
// zone with few nodes would be in every set, and its nodes would carry the load of all
// shards.
func (r candidateRanking) compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(r.excess(a), r.excess(b)),
		-cmp.Compare(dataFolderRank(a), dataFolderRank(b)),
		cmp.Compare(r.sets[a.Member.Node], r.sets[b.Member.Node]),
		cmp.Compare(r.zones[a.Member.Zone], r.zones[b.Member.Zone]),
		-cmp.Compare(program.Affinity(a.Member.Node, r.key), program.Affinity(b.Member.Node, r.key)),
	)
}

// excess returns by how much the candidate would exceed the limit of its zone.
func (r candidateRanking) excess(c Candidate) int { return max(r.zones[c.Member.Zone]+1-r.limit, 0) }

func dataFolderRank(c Candidate) int {
	if c.HasDataFolder {
		return 1
	}
	return 0
}

func hasNode(members []register.Member, node string) bool {
	return slices.ContainsFunc(members, func(member register.Member) bool { return member.Node == node })
}
