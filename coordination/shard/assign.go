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
	key := strconv.FormatUint(uint64(shard), 10)
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(left, right Candidate) int { return compareCandidates(key, left, right) })
	perZone := make(map[string]int)
	var members []register.Member
	for round := 0; len(members) < factor && round < len(ordered); round++ {
		for _, candidate := range ordered {
			if len(members) == factor {
				break
			}
			if perZone[candidate.Member.Zone] == round && !slices.Contains(members, candidate.Member) {
				perZone[candidate.Member.Zone]++
				members = append(members, candidate.Member)
			}
		}
	}
	return members
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
