package node

import (
	"context"

	"github.com/marblering/marblering/coordination/fleet"
	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/protocol/operator"
)

// Decisions implements operator.Tables with the choices that this node remembers.
// Other nodes must be asked for theirs; the table of calls says which node ran a
// call.
func (b *operatorBackend) Decisions(_ context.Context, program string) (operator.Listing[operator.Decision], error) {
	listing := operator.Listing[operator.Decision]{
		Incomplete: "choices made at other nodes than " + b.node.settings.Name,
	}
	for _, explained := range b.node.fleet.Explain(program) {
		listing.Rows = append(listing.Rows, decisionRow(b.node.settings.Name, explained))
	}
	return listing, nil
}

// decisionRow makes the row of one choice. The journal of choices doesn't have the
// number of the call.
func decisionRow(node string, explained fleet.DecisionRecord) operator.Decision {
	row := operator.Decision{
		At:     explained.At,
		Node:   node,
		Engine: explained.Decision.Engine,
		Reason: explained.Decision.Reason,
	}
	for index := range explained.Decision.Candidates {
		row.Candidates = append(row.Candidates, candidateRow(&explained.Decision.Candidates[index]))
	}
	return row
}

func candidateRow(candidate *routing.Candidate) operator.Candidate {
	return operator.Candidate{
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
