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

// AssignAll chooses the first members of all shards: as many of a zone as a set
// may lose at most, nodes with a data folder first, then those in the fewest
// sets.
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

// setsPerNode is in how many sets each node is, by its name.
type setsPerNode map[string]int

// update takes in that a set gets other members.
func (s setsPerNode) update(before, after []register.Member) {
	for _, member := range before {
		s[member.Node]--
	}
	for _, member := range after {
		s[member.Node]++
	}
}

// zoneLimit is how many members of a set may stand in one zone: so many that
// the others are still a majority without them, and one at least.
func zoneLimit(factor int) int { return max((factor-1)/2, 1) }

// addMembers adds candidates to the members that stay until there are enough.
func addMembers(shard uint32, factor int, kept []register.Member, candidates []Candidate, sets setsPerNode) []register.Member {
	members := slices.Clone(kept)
	if len(members) >= factor {
		// The usual case, for every set of every node each second: nothing to
		// order.
		return members
	}
	f := candidateRanking{key: strconv.FormatUint(uint64(shard), 10), limit: zoneLimit(factor), sets: sets, zones: make(map[string]int)}
	for _, member := range members {
		f.zones[member.Zone]++
	}
	rest := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return hasNode(members, c.Member.Node) })
	for len(members) < factor && len(rest) > 0 {
		chosen := slices.MinFunc(rest, f.compare).Member
		f.zones[chosen.Zone]++
		members = append(members, chosen)
		rest = slices.DeleteFunc(rest, func(c Candidate) bool { return c.Member.Node == chosen.Node })
	}
	return members
}

// candidateRanking ranks the candidates of one set.
type candidateRanking struct {
	key   string
	limit int
	sets  setsPerNode
	// zones counts the set's members so far.
	zones map[string]int
}

// compare puts the better candidate first. Zones within the limit are equal: a
// zone with few nodes would otherwise stand in every set, and all of its nodes'
// work would be that of the whole system.
func (f candidateRanking) compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(f.excess(a), f.excess(b)),
		-cmp.Compare(dataFolderRank(a), dataFolderRank(b)),
		cmp.Compare(f.sets[a.Member.Node], f.sets[b.Member.Node]),
		cmp.Compare(f.zones[a.Member.Zone], f.zones[b.Member.Zone]),
		-cmp.Compare(program.Affinity(a.Member.Node, f.key), program.Affinity(b.Member.Node, f.key)),
	)
}

// excess is by how much the candidate would put its zone over the limit.
func (f candidateRanking) excess(c Candidate) int { return max(f.zones[c.Member.Zone]+1-f.limit, 0) }

func dataFolderRank(c Candidate) int {
	if c.HasDataFolder {
		return 1
	}
	return 0
}

func hasNode(members []register.Member, node string) bool {
	return slices.ContainsFunc(members, func(member register.Member) bool { return member.Node == node })
}
