package shard

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// nodeShard is the shard number under which a replica stores metadata that must outlive the
// data of the shards. No actual shard has it.
const nodeShard uint32 = math.MaxUint32

const (
	stateNamePrefix          = "shard-"
	configurationVersionName = "configuration-version"
)

// shardState is the durable state of one shard on a replica, stored as JSON.
type shardState struct {
	// View is the newest decided view that the replica knows. Earlier epochs have ended on
	// this replica.
	View register.View
	// Previous is the view that the replica had before View.
	Previous register.View
	// Opened is the newest open view that the replica knows.
	Opened register.View
	// DataEpoch is the newest epoch whose data the replica holds, or zero for none.
	DataEpoch uint64
	// DroppedEpoch is the newest epoch whose data the replica held and deleted.
	DroppedEpoch uint64 `json:",omitempty"`
}

// neverHeld reports whether the epoch has ended on the replica, which never held its data
// and therefore granted no request in it.
func (s shardState) neverHeld(epoch uint64) bool {
	return s.View.Epoch > epoch && max(s.DataEpoch, s.DroppedEpoch) < epoch
}

// isInstalled reports whether the replica holds the data of its view.
func (s shardState) isInstalled() bool {
	return s.View.Epoch > 0 && s.DataEpoch == s.View.Epoch
}

// isOpen reports whether the replica may serve its view.
func (s shardState) isOpen() bool {
	return s.isInstalled() && s.Opened.Epoch == s.View.Epoch
}

// advanceTo returns the state after a newer view was decided.
func (s shardState) advanceTo(view register.View) shardState {
	s.Previous = s.View
	s.View = view
	return s
}

// successorOf returns the view after the given epoch, or nil if the replica doesn't know it.
func (s shardState) successorOf(epoch uint64) *register.View {
	for _, view := range []register.View{s.View, s.Previous} {
		if view.Epoch == epoch+1 {
			return &view
		}
	}
	return nil
}

func stateName(shard uint32) string {
	return stateNamePrefix + strconv.FormatUint(uint64(shard), 10)
}

func saveState(store replica.Store, shard uint32, current shardState) error {
	encoded, err := json.Marshal(current)
	if err != nil {
		return merry.Prependf(err, "encode state of shard %d", shard)
	}
	return merry.Prependf(store.SaveMeta(nodeShard, stateName(shard), encoded), "save state of shard %d", shard)
}

func loadState(store replica.Store, shard uint32) (shardState, error) {
	var loaded shardState
	encoded, err := store.LoadMeta(nodeShard, stateName(shard))
	if err != nil || encoded == nil {
		return loaded, merry.Prependf(err, "load state of shard %d", shard)
	}
	err = json.Unmarshal(encoded, &loaded)
	return loaded, merry.Prependf(err, "decode state of shard %d", shard)
}
