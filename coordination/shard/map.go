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

// FirstEpoch is the epoch of the initial replica sets.
const FirstEpoch uint64 = 1

// UnknownShard is the shard of every program while the number of shards is unknown. It never has
// a view.
const UnknownShard uint32 = math.MaxUint32

// Map holds the newest open view of each shard that a node knows. Reads take no lock
// (copy-on-write); a view is only replaced by one of a later epoch.
//
// The number of shards is fixed when the initial sets are created. Until a map knows it, the
// map has no views and locates every program in UnknownShard.
type Map struct {
	writeMutex sync.Mutex
	views      atomic.Pointer[[]register.View]
}

// NewMap returns a map of count shards without views. A count of zero means that the number
// of shards is unknown.
func NewMap(count uint32) *Map {
	m := &Map{}
	views := make([]register.View, count)
	m.views.Store(&views)
	return m
}

// Count returns the number of shards, or zero if it is unknown.
func (m *Map) Count() uint32 { return uint32(len(*m.views.Load())) }

// SetCount sets the number of shards if it is unknown. The number never changes afterwards.
func (m *Map) SetCount(count uint32) {
	m.writeMutex.Lock()
	defer m.writeMutex.Unlock()
	if m.Count() == 0 {
		views := make([]register.View, count)
		m.views.Store(&views)
	}
}

// Locate returns the shard of the program's root, or UnknownShard while the number of
// shards is unknown. Falling back to an actual shard would apply changes to a register that no other
// node reads, and so let turns start that no budget counts.
func (m *Map) Locate(id string) uint32 {
	count := m.Count()
	if count == 0 {
		return UnknownShard
	}
	return uint32(xxhash.Sum64String(program.RootOf(id)) % uint64(count))
}

// View returns the newest known view of the shard; found is false if there is none.
func (m *Map) View(shard uint32) (view register.View, found bool) {
	views := *m.views.Load()
	if int(shard) >= len(views) {
		return register.View{}, false
	}
	view = views[shard]
	return view, view.Epoch != 0
}

// Learn stores a view if it is newer than the known one. The view must be open: see the
// package documentation.
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

// Epoch returns the newest known epoch of the shard, or zero if there is none.
func (m *Map) Epoch(shard uint32) uint64 {
	view, _ := m.View(shard)
	return view.Epoch
}

// Views returns the known views in shard order.
func (m *Map) Views() []register.View {
	var known []register.View
	for _, view := range *m.views.Load() {
		if view.Epoch != 0 {
			known = append(known, view)
		}
	}
	return known
}

// Digest returns a hash of the known epochs, which is equal on nodes that know the same ones.
func (m *Map) Digest() uint64 {
	digest := xxhash.New()
	for _, view := range *m.views.Load() {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(strconv.FormatUint(view.Epoch, 10) + ",")
	}
	return digest.Sum64()
}

// MembersOf returns the members of the views without duplicate addresses.
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
