package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// quickFailure makes nodes notice a lost one sooner than the default does.
var quickFailure = []string{"--heartbeat-interval", "300ms", "--failure-timeout", "2s"}

// sendAll sends the requests at the same time, each first to the node of its
// place in the list, and returns the settled outcomes.
func (s *system) sendAll(ctx context.Context, nodes []int, requests []request) []outcome {
	outcomes := make([]outcome, len(requests))
	var sending sync.WaitGroup
	for index := range requests {
		sending.Go(func() { outcomes[index] = s.insist(ctx, nodes[index], requests[index]) })
	}
	sending.Wait()
	return outcomes
}

// crossed makes calls of several programs with sequence numbers, all in one list
// of no order.
func crossed(random *rand.Rand, programs []string, calls int) []request {
	var requests []request
	for number, program := range programs {
		for sequence := range calls {
			requests = append(requests, request{
				program:  program,
				key:      fmt.Sprintf("key-%d", sequence+1),
				text:     fmt.Sprintf("question %d of program %d", sequence+1, number),
				sequence: uint64(sequence + 1),
			})
		}
	}
	random.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
	return requests
}

// checkCrossed makes sure that each program's calls ran in the order of their
// numbers.
func (s *system) checkCrossed(t *testing.T, programs []string, calls int, requests []request, outcomes []outcome) {
	t.Helper()
	for _, program := range programs {
		told := newConversation(program)
		for sequence := range calls {
			for index, r := range requests {
				if r.program == program && r.sequence == uint64(sequence+1) {
					assert.Equal(t, outcomes[index].sequence, r.sequence, "%s", outcomes[index])
					told.answer(t, s, r, outcomes[index])
				}
			}
		}
		told.check(t, s)
	}
}

// TestCallsRunInOrderWhenTheyArriveCrossed sends the numbered calls of several
// programs at once, in no order, to all nodes. Every engine must see each call
// with the answers to all calls before it.
func TestCallsRunInOrderWhenTheyArriveCrossed(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2})
	random := rand.New(rand.NewPCG(1, 1))
	programs, requests, nodes := s.crossedCalls(t, random, 4, 5)
	outcomes := s.sendAll(patient(t), nodes, requests)
	s.checkCrossed(t, programs, 5, requests, outcomes)
}

func (s *system) crossedCalls(t *testing.T, random *rand.Rand, count, calls int) (programs []string, requests []request, nodes []int) {
	t.Helper()
	for index := range count {
		programs = append(programs, s.createProgram(t, index%len(s.nodes), 1000000))
	}
	requests = crossed(random, programs, calls)
	for range requests {
		nodes = append(nodes, random.IntN(len(s.nodes)))
	}
	return programs, requests, nodes
}

// TestOrderHoldsWhenANodeIsKilled kills a node in the middle of crossed calls.
// Their callers ask again at the other nodes.
func TestOrderHoldsWhenANodeIsKilled(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2, flags: quickFailure, timeScale: 5})
	random := rand.New(rand.NewPCG(2, 2))
	programs, requests, nodes := s.crossedCalls(t, random, 3, 4)
	var once sync.Once
	underWay := make(chan struct{})
	for index := range requests {
		if nodes[index] == 2 {
			requests[index].onText = func(string) { once.Do(func() { close(underWay) }) }
		}
	}
	ctx := patient(t)
	done := make(chan []outcome, 1)
	go func() { done <- s.sendAll(ctx, nodes, requests) }()
	select {
	case <-underWay:
	case <-ctx.Done():
		t.Fatal("no call is under way at the third node")
	}
	s.nodes[2].Kill()
	s.checkCrossed(t, programs, 4, requests, <-done)
}
