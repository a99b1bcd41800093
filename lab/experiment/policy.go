package experiment

import (
	"strconv"
	"time"

	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/lab/engine"
)

// choice is what a policy decides on a call.
type choice struct {
	// engine is the index of the engine, or noEngine.
	engine int
	// source is the index of the engine to move context from, or noEngine.
	source int
	// retryAfter is the pause asked for where there is no engine.
	retryAfter time.Duration
	priority   uint32
	hold       bool
	// prefill is set where the source has to compute the prompt first; its work
	// is booked as well.
	prefill     bool
	prefillWork routing.Work
	// work is booked in the node's ledger until the call ends.
	work     routing.Work
	expected time.Duration
}

const noEngine = -1

func refuse(after time.Duration) choice {
	return choice{engine: noEngine, source: noEngine, retryAfter: after}
}

// policy decides where calls go. It knows what the deciding node knows: its
// polled states, its own books and what it was told of its own calls.
type policy interface {
	choose(s *simulation, n *simNode, c *call) choice
	// finished is called with each answer, failed with each attempt that got
	// lost, ended with each program that has ended.
	finished(s *simulation, a *attempt, usage engine.Usage)
	failed(s *simulation, a *attempt)
	ended(s *simulation, p *program)
}

// passive is a policy that learns nothing.
type passive struct{}

func (passive) finished(*simulation, *attempt, engine.Usage) {}
func (passive) failed(*simulation, *attempt)                 {}
func (passive) ended(*simulation, *program)                  {}

// usable says whether a node may send a call to an engine.
func (n *simNode) usable(c *call, index int) bool {
	if !n.reachable[index] {
		return false
	}
	for _, tried := range c.tried {
		if tried == n.states[index].Name {
			return false
		}
	}
	return true
}

// fullWork is the work of a call if nothing of it is cached.
func fullWork(c *call) routing.Work {
	return routing.Work{
		Requests:     1,
		PromptTokens: uint64(c.prompt),
		OutputTokens: expectedOutput,
	}
}

// expectedOutput is the length that nodes expect of an answer, which nobody
// knows ahead of time.
const expectedOutput = 120

// prefixKey names the shared start of a prompt in a node's locality.
func prefixKey(path []engine.Segment) string {
	return "prefix-" + strconv.FormatUint(path[0].ID, 16)
}
