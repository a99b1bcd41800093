package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subset keeps a bounded number of the feasible engines, the same ones for all
// calls of a program tree, and moves the others to rejected. Engines with
// cached context are always kept. The rest is chosen by rendezvous hashing
// weighted with prefill speed (Thaler and Ravishankar 1998; the weighting is
// that of Schindelhauer and Schomaker 2005), so the loss of an engine changes
// only the subsets it was in. At most a fair share is taken of each zone
// before a second pass fills up, so the loss of a zone leaves candidates.
func subset(engines []EngineState, kept []int, request *Request, size int) []int {
	if len(kept) <= size {
		return kept
	}
	ranked := rankByHash(engines, kept, request)
	return spreadOverZones(engines, ranked, size)
}

type hashRank struct {
	index int
	rank  float64
}

func rankByHash(engines []EngineState, kept []int, request *Request) []hashRank {
	root := request.Root
	if root == "" {
		root = request.Program
	}
	seed := xxhash.Sum64String(root)
	ranked := make([]hashRank, len(kept))
	for i, index := range kept {
		engine := &engines[index]
		ranked[i] = hashRank{index: index, rank: rendezvousRank(seed, engine)}
		if request.cachedOn(engine.Name) > 0 {
			ranked[i].rank = math.Inf(-1)
		}
	}
	slices.SortFunc(ranked, func(a, b hashRank) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.index, b.index))
	})
	return ranked
}

// rendezvousRank is an exponential variate whose rate is the engine's speed;
// the smallest ranks first.
func rendezvousRank(seed uint64, engine *EngineState) float64 {
	hash := mix(seed ^ xxhash.Sum64String(engine.Name))
	const mantissaBits = 53
	uniform := (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -math.Log(uniform) / max(engine.PrefillSpeed, 1)
}

// mix is the finalizer of MurmurHash3.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	value ^= value >> 33
	return value
}

func spreadOverZones(engines []EngineState, ranked []hashRank, size int) []int {
	share := zoneShare(engines, ranked, size)
	taken := make(map[string]int, 8)
	chosen := make([]int, 0, size)
	var spare []int
	for _, entry := range ranked {
		if len(chosen) == size {
			return chosen
		}
		zone := engines[entry.index].Zone
		if taken[zone] >= share && !math.IsInf(entry.rank, -1) {
			spare = append(spare, entry.index)
			continue
		}
		taken[zone]++
		chosen = append(chosen, entry.index)
	}
	return append(chosen, spare[:min(len(spare), size-len(chosen))]...)
}

func zoneShare(engines []EngineState, ranked []hashRank, size int) int {
	zones := make(map[string]struct{}, 8)
	for _, entry := range ranked {
		zones[engines[entry.index].Zone] = struct{}{}
	}
	return (size + len(zones) - 1) / len(zones)
}
