package routing

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subset is a bounded choice among the feasible engines, the same one for all
// calls of a program tree. Engines with cached context are always in it. The
// rest is chosen by rendezvous hashing weighted with prefill speed (Thaler and
// Ravishankar 1998; weighted as by Schindelhauer and Schomaker 2005), so the
// loss of an engine changes only the subsets it was in. Each zone gives at most
// its equal share before the places left over are filled from all, so that the
// loss of a zone leaves candidates.
type subset struct {
	size int
	seed uint64
	// rankNeeded is unset where all engines fit into the subset anyway.
	rankNeeded bool
	zones      []zoneSubset
}

// zoneSubset keeps the best-ranked engines of one zone in order.
type zoneSubset struct {
	zone   string
	ranked []rankedEngine
}

type rankedEngine struct {
	index int
	rank  float64
	// beyondShare engines come in only where others leave places.
	beyondShare bool
}

// expectedZones avoids growing the list of zones in ordinary fleets.
const expectedZones = 8

func newSubset(request *Request, size, engines int) *subset {
	root := request.Root
	if root == "" {
		root = request.Program
	}
	return &subset{
		size:       size,
		seed:       xxhash.Sum64String(root),
		rankNeeded: engines > size,
		zones:      make([]zoneSubset, 0, expectedZones),
	}
}

// add considers a feasible engine.
func (s *subset) add(index int, engine *EngineState, cached bool) {
	rank := math.Inf(-1)
	if !cached && s.rankNeeded {
		rank = rendezvousRank(s.seed, engine)
	}
	s.zone(engine.Zone).add(rankedEngine{index: index, rank: rank}, s.size)
}

// engines returns the indexes of the chosen engines.
func (s *subset) engines() []int {
	share := (s.size + len(s.zones) - 1) / max(len(s.zones), 1)
	ranked := make([]rankedEngine, 0, len(s.zones)*s.size)
	for _, zone := range s.zones {
		for position, entry := range zone.ranked {
			entry.beyondShare = position >= share && !math.IsInf(entry.rank, -1)
			ranked = append(ranked, entry)
		}
	}
	if len(ranked) > s.size {
		slices.SortFunc(ranked, compareRanked)
	}
	chosen := make([]int, 0, s.size)
	for _, entry := range ranked[:min(s.size, len(ranked))] {
		chosen = append(chosen, entry.index)
	}
	return chosen
}

func (s *subset) zone(name string) *zoneSubset {
	for i := range s.zones {
		if s.zones[i].zone == name {
			return &s.zones[i]
		}
	}
	s.zones = append(s.zones, zoneSubset{zone: name, ranked: make([]rankedEngine, 0, s.size+1)})
	return &s.zones[len(s.zones)-1]
}

func (z *zoneSubset) add(entry rankedEngine, size int) {
	if len(z.ranked) == size && compareRanked(entry, z.ranked[size-1]) >= 0 {
		return
	}
	position, _ := slices.BinarySearchFunc(z.ranked, entry, compareRanked)
	z.ranked = slices.Insert(z.ranked, position, entry)
	z.ranked = z.ranked[:min(len(z.ranked), size)]
}

func compareRanked(a, b rankedEngine) int {
	switch {
	case a.beyondShare != b.beyondShare:
		if b.beyondShare {
			return -1
		}
		return 1
	case a.rank < b.rank:
		return -1
	case a.rank > b.rank:
		return 1
	}
	return a.index - b.index
}

// rendezvousRank is an exponential variate whose rate is the engine's speed;
// the smallest ranks first.
func rendezvousRank(seed uint64, engine *EngineState) float64 {
	hash := mix(seed ^ xxhash.Sum64String(engine.Name))
	const mantissaBits = 53
	uniform := (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -logarithm(uniform) / prefillSpeed(engine)
}

// logarithm is the natural logarithm of a positive number to about four digits,
// which is enough to rank by and takes a fraction of the time of math.Log. The
// fraction's part is the series of the inverse hyperbolic tangent.
func logarithm(number float64) float64 {
	const (
		mantissaBits = 52
		exponentBias = 1023
		mantissaMask = 1<<mantissaBits - 1
	)
	bits := math.Float64bits(number)
	exponent := float64(int(bits>>mantissaBits) - exponentBias)
	mantissa := math.Float64frombits(bits&mantissaMask | exponentBias<<mantissaBits)
	ratio := (mantissa - 1) / (mantissa + 1)
	square := ratio * ratio
	return exponent*math.Ln2 + 2*ratio*(1+square*(1.0/3+square*(1.0/5+square/7)))
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
