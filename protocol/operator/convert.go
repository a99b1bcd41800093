package operator

import (
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/routing"
)

// Choice is what a node knows of one choice of an engine beside the decision.
type Choice struct {
	At       time.Time
	Node     string
	Sequence uint64
	Attempt  uint32
}

// DecisionOf makes the row of a routing decision.
func DecisionOf(choice Choice, decision routing.Decision) Decision {
	row := Decision{
		At:         choice.At,
		Node:       choice.Node,
		Sequence:   choice.Sequence,
		Attempt:    choice.Attempt,
		Engine:     decision.Engine,
		Reason:     decision.Reason,
		Candidates: make([]Candidate, len(decision.Candidates)),
	}
	for index, candidate := range decision.Candidates {
		row.Candidates[index] = candidateOf(candidate)
	}
	return row
}

func candidateOf(candidate routing.Candidate) Candidate {
	return Candidate{
		Engine:       candidate.Engine,
		Rejected:     string(candidate.Rejected),
		Cost:         candidate.Cost,
		Queue:        candidate.Queue,
		Prefill:      candidate.Prefill,
		Decode:       candidate.Decode,
		Transfer:     candidate.Transfer,
		Network:      candidate.Network,
		Interference: candidate.Interference,
		WastedCache:  candidate.WastedCache,
		Eviction:     candidate.Eviction,
		CachedTokens: candidate.CachedTokens,
		Source:       candidate.Source,
	}
}

// ConfigurationRows makes the rows of the table configuration.
func ConfigurationRows(snapshot *configuration.Snapshot) []ConfigurationRow {
	var rows []ConfigurationRow
	for _, object := range snapshot.Objects(0) {
		if object.Deleted {
			continue
		}
		mark := configuration.Writer(object.Body)
		rows = append(rows, ConfigurationRow{
			Kind:     string(object.Kind),
			Name:     object.Name,
			Version:  object.Version,
			Operator: mark.Operator,
			Command:  mark.CommandID,
			Body:     string(object.Body),
		})
	}
	return rows
}

// PoolRows makes the rows of the table pools; engines are those of the table
// engines.
func PoolRows(snapshot *configuration.Snapshot, engines []EngineRow) []PoolRow {
	var rows []PoolRow
	for _, pool := range snapshot.Pools() {
		row := PoolRow{
			Name:           pool.Name,
			Zones:          pool.Zones,
			Models:         pool.Models,
			Roles:          roleNames(pool.Roles),
			MinimumEngines: pool.MinimumEngines,
			Version:        versionOf(snapshot, configuration.KindPool, pool.Name),
		}
		for _, engine := range engines {
			row.count(engine)
		}
		rows = append(rows, row)
	}
	return rows
}

func (r *PoolRow) count(engine EngineRow) {
	if engine.Pool != r.Name {
		return
	}
	r.Engines++
	if engine.State == StateServing {
		r.ServingEngines++
	}
}

func roleNames(roles []configuration.Role) []string {
	names := make([]string, len(roles))
	for index, role := range roles {
		names[index] = string(role)
	}
	slices.Sort(names)
	return names
}

// versionOf is 0 where there is no such object.
func versionOf(snapshot *configuration.Snapshot, kind configuration.Kind, name string) uint64 {
	object, _ := snapshot.Object(configuration.Key{Kind: kind, Name: name})
	return object.Version
}
