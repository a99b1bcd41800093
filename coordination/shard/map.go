package shard

import (
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/program"
)

// FirstEpoch is the epoch of the sets in the first shard map.
const FirstEpoch uint64 = 1

// Nowhere is the shard of every program while the number of shards isn't known. It never
// has a view.
const Nowhere uint32 = math.MaxUint32

// Map holds the newest view of each shard that a node knows. Readers take no
// lock (read-copy-update); a view is only replaced by one of a later epoch.
//
// How many shards there are is decided when the first sets are founded. A map that
// doesn't know yet has none: it knows no view, and nothing can be located.
type Map struct {
	writeMutex sync.Mutex
	views      atomic.Pointer[[]register.View]
}

// NewMap makes a map of so many shards, without a view yet; zero where the number
// isn't known.
func NewMap(count uint32) *Map {
	m := &Map{}
	views := make([]register.View, count)
	m.views.Store(&views)
	return m
}

// Count returns the number of shards, zero where it isn't known.
func (m *Map) Count() uint32 { return uint32(len(*m.views.Load())) }

// Found makes the number of shards known. It never changes afterwards.
func (m *Map) Found(count uint32) {
	m.writeMutex.Lock()
	defer m.writeMutex.Unlock()
	if m.Count() == 0 {
		views := make([]register.View, count)
		m.views.Store(&views)
	}
}

// Locate returns the shard of a program, which is that of its root, and Nowhere while the
// number of shards isn't known. The first shard in its place would have a view a moment
// later, and a change of the program would go to a register that nobody else looks at: a
// node that had just started let turns begin that no budget counted.
func (m *Map) Locate(id string) uint32 {
	count := m.Count()
	if count == 0 {
		return Nowhere
	}
	return uint32(xxhash.Sum64String(program.RootOf(id)) % uint64(count))
}

// View returns the newest view of the shard; found is false before the first.
func (m *Map) View(shard uint32) (view register.View, found bool) {
	views := *m.views.Load()
	if int(shard) >= len(views) {
		return register.View{}, false
	}
	view = views[shard]
	return view, view.Epoch != 0
}

// Learn takes in a view if it is newer than the one of the map. Only a view
// that is open may be given: see the package comment.
func (m *Map) Learn(view register.View) {
	if view.Epoch <= m.Epoch(view.Shard) || len(view.Members) == 0 {
		return
	}
	m.writeMutex.Lock()
	defer m.writeMutex.Unlock()
	views := *m.views.Load()
	if int(view.Shard) >= len(views) || view.Epoch <= views[view.Shard].Epoch {
		return
	}
	next := make([]register.View, len(views))
	copy(next, views)
	next[view.Shard] = view
	m.views.Store(&next)
}

// Epoch returns the newest known epoch of the shard, zero for none.
func (m *Map) Epoch(shard uint32) uint64 {
	view, _ := m.View(shard)
	return view.Epoch
}

// Views returns the known views in order of their shards.
func (m *Map) Views() []register.View {
	var known []register.View
	for _, view := range *m.views.Load() {
		if view.Epoch != 0 {
			known = append(known, view)
		}
	}
	return known
}

// Digest is equal at two nodes that know the same epochs.
func (m *Map) Digest() uint64 {
	digest := xxhash.New()
	for _, view := range *m.views.Load() {
		// A digest's Write never fails.
		_, _ = digest.WriteString(strconv.FormatUint(view.Epoch, 10) + ",")
	}
	return digest.Sum64()
}

// MembersOf returns the members of the views, each address once.
func MembersOf(views []register.View) []register.Member {
	var members []register.Member
	for _, view := range views {
		for _, member := range view.Members {
			isKnown := slices.ContainsFunc(members, func(known register.Member) bool { return known.Address == member.Address })
			if !isKnown {
				members = append(members, member)
			}
		}
	}
	return members
}
