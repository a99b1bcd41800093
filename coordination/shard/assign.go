package shard

import (
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

// Assign chooses the members of a shard: one replica a zone where zones allow,
// nodes with a data folder first, spread by rendezvous hashing.
func Assign(shard uint32, factor int, candidates []Candidate) []register.Member {
	return fill(shard, factor, nil, candidates)
}

// fill adds candidates to the members that stay until there are enough: always
// one of a zone that has the fewest members.
func fill(shard uint32, factor int, kept []register.Member, candidates []Candidate) []register.Member {
	key := strconv.FormatUint(uint64(shard), 10)
	members := slices.Clone(kept)
	perZone := make(map[string]int)
	for _, member := range members {
		perZone[member.Zone]++
	}
	ordered := slices.DeleteFunc(slices.Clone(candidates), func(candidate Candidate) bool {
		return hasNode(members, candidate.Member.Node)
	})
	slices.SortFunc(ordered, func(left, right Candidate) int { return compareCandidates(key, left, right) })
	for len(members) < factor && len(ordered) > 0 {
		best := 0
		for index, candidate := range ordered {
			if perZone[candidate.Member.Zone] < perZone[ordered[best].Member.Zone] {
				best = index
			}
		}
		chosen := ordered[best].Member
		perZone[chosen.Zone]++
		members = append(members, chosen)
		ordered = slices.Delete(ordered, best, best+1)
	}
	return members
}

func hasNode(members []register.Member, node string) bool {
	return slices.ContainsFunc(members, func(member register.Member) bool { return member.Node == node })
}

func compareCandidates(key string, left, right Candidate) int {
	if left.HasDataFolder != right.HasDataFolder {
		if left.HasDataFolder {
			return -1
		}
		return 1
	}
	leftScore := program.Affinity(left.Member.Node, key)
	rightScore := program.Affinity(right.Member.Node, key)
	switch {
	case leftScore > rightScore:
		return -1
	case leftScore < rightScore:
		return 1
	}
	return 0
}
