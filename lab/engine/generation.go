package engine

import (
	"strings"
	"time"
)

// Generation is a class of hardware. The figures are assumptions with the
// proportions of small accelerators of five successive generations; they aren't
// measured on any product.
type Generation struct {
	Name string
	// PrefillRate is how fast prompt tokens are computed when nothing else
	// runs, in tokens per second.
	PrefillRate float64
	// StepBase and StepPerSequence give the time of one decode step, which
	// produces one token of each running sequence: a step is bound by reading
	// the weights once and by each sequence's own context.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// ChunkTokens is the token budget of one step that also prefills.
	ChunkTokens int
	// MaxBatch limits the sequences that run at once.
	MaxBatch int
	// MemoryTokens is the room for KV cache, in tokens.
	MemoryTokens int
	// TransferRate is how fast KV cache is exported or imported, in tokens per
	// second.
	TransferRate float64
}

// generations are the known ones, oldest first.
var generations = [...]Generation{
	{"gen1", 1500, 45 * time.Millisecond, 1200 * time.Microsecond, 256, 8, 64 << 10, 5_000},
	{"gen2", 3500, 30 * time.Millisecond, 700 * time.Microsecond, 512, 16, 128 << 10, 10_000},
	{"gen3", 7000, 22 * time.Millisecond, 400 * time.Microsecond, 512, 32, 256 << 10, 20_000},
	{"gen4", 14000, 15 * time.Millisecond, 250 * time.Microsecond, 1024, 48, 512 << 10, 40_000},
	{"gen5", 28000, 11 * time.Millisecond, 150 * time.Microsecond, 2048, 64, 1 << 20, 80_000},
}

// DefaultGeneration is used where none is named.
const DefaultGeneration = "gen3"

// FindGeneration returns the generation with a name, or the default one for an
// empty name.
func FindGeneration(name string) (Generation, bool) {
	if name == "" {
		name = DefaultGeneration
	}
	for _, generation := range generations {
		if strings.EqualFold(generation.Name, name) {
			return generation, true
		}
	}
	return Generation{}, false
}

// Role says which part of the work an engine is set up for.
type Role string

// Roles of an engine. A prefill engine spends larger parts of each step on
// prompts and batches fewer sequences; a decode engine the reverse.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// roleShift is the factor by which a role moves chunk size and batch size.
const roleShift = 4

// as returns the generation as it is set up for a role.
func (g Generation) as(role Role) Generation {
	switch role {
	case RolePrefill:
		g.ChunkTokens *= roleShift
		g.MaxBatch = max(1, g.MaxBatch/roleShift)
	case RoleDecode:
		g.ChunkTokens = max(g.MaxBatch+1, g.ChunkTokens/roleShift)
	}
	return g
}

// step returns the time of one step that decodes one token of each of batch
// sequences, in seconds.
func (g Generation) step(batch int) float64 {
	return g.StepBase.Seconds() + float64(batch)*g.StepPerSequence.Seconds()
}

// rates returns the decode rate of each of batch sequences and the prefill
// rate, in tokens per second. A step that prefills computes a chunk of the
// prompt beside the decodes (chunked prefill: Agrawal et al., Taming
// Throughput-Latency Tradeoff in LLM Inference with Sarathi-Serve, OSDI 2024).
func (g Generation) rates(batch int, prefilling bool) (decode, prefill float64) {
	step := g.step(batch)
	if !prefilling {
		return 1 / step, 0
	}
	chunk := float64(max(1, g.ChunkTokens-batch))
	step += chunk / g.PrefillRate
	return 1 / step, chunk / step
}
