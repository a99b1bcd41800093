package storage

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/shard"
)

// shardsPath lists the shards that the node knows.
const shardsPath = "/shards"

// shardEntry is a shard in the list for operators. Times are in UTC, and empty for never.
type shardEntry struct {
	Shard uint32 `json:"shard"`
	// Epoch and Members are those of the newest open view.
	Epoch   uint64        `json:"epoch"`
	Members []memberEntry `json:"members"`
	// DecidedEpoch is newer than Epoch while the set changes.
	DecidedEpoch uint64             `json:"decided_epoch"`
	DataEpoch    uint64             `json:"data_epoch"`
	State        shard.ReplicaState `json:"state"`
	HeldSince    time.Time          `json:"held_since,omitzero"`
	LackingSince time.Time          `json:"lacking_since,omitzero"`
	Copy         copyEntry          `json:"copy"`
	Error        string             `json:"error,omitempty"`
}

type memberEntry struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
}

type copyEntry struct {
	Phase   shard.CopyPhase `json:"phase"`
	Since   time.Time       `json:"since,omitzero"`
	Turns   uint64          `json:"turns"`
	Listed  uint64          `json:"listed"`
	Bytes   uint64          `json:"bytes"`
	Answers []answerEntry   `json:"answers,omitempty"`
}

type answerEntry struct {
	Node  string          `json:"node"`
	Phase shard.CopyPhase `json:"phase"`
	At    time.Time       `json:"at"`
	Error string          `json:"error,omitempty"`
}

// withShards adds shardsPath to the handler for operators.
func withShards(replica ShardReplica, next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("GET "+shardsPath, func(w http.ResponseWriter, _ *http.Request) {
		entries := []shardEntry{}
		for _, status := range replica.Statuses() {
			entries = append(entries, newShardEntry(status))
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client is gone.
		_ = json.NewEncoder(w).Encode(entries)
	})
	return mux
}

func newShardEntry(status shard.Status) shardEntry {
	entry := shardEntry{
		Shard: status.Shard, Epoch: status.View.Epoch, Members: []memberEntry{},
		DecidedEpoch: status.DecidedEpoch, DataEpoch: status.DataEpoch, State: status.State,
		HeldSince: status.HeldSince.UTC(), LackingSince: status.LackingSince.UTC(), Error: status.Error,
		Copy: copyEntry{
			Phase: status.Copy.Phase, Since: status.Copy.Since.UTC(),
			Turns: status.Copy.Turns, Listed: status.Copy.Listed, Bytes: status.Copy.Bytes,
		},
	}
	for _, member := range status.View.Members {
		entry.Members = append(entry.Members, memberEntry{Node: member.Node, Incarnation: member.Incarnation, Address: member.Address})
	}
	for _, node := range slices.Sorted(maps.Keys(status.Copy.Answers)) {
		answer := status.Copy.Answers[node]
		entry.Copy.Answers = append(entry.Copy.Answers, answerEntry{Node: node, Phase: answer.Phase, At: answer.At.UTC(), Error: answer.Error})
	}
	return entry
}
