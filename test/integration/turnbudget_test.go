package integration

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	replacedBudgetPrograms = 24
	// replacedBudgetPause is longer than a budget host takes to release an unused reserve.
	replacedBudgetPause = time.Second
)

// TestBudgetAfterAStorageNodeIsReplaced guards against programs whose turns are refused with
// budget_reserved for good, since a storage node that was removed for good holds the rest of
// their budgets. They may be served or told that their budgets are spent.
func TestBudgetAfterAStorageNodeIsReplaced(t *testing.T) {
	s := newTurnSoak(t, 1)
	c := &turnClients{
		t: t, soak: s, stopped: make(chan struct{}), answers: make(map[string]int), spent: make(map[string]int),
		continued: make([]time.Time, replacedBudgetPrograms),
	}
	var programs sync.WaitGroup
	replaced := make(chan struct{})
	for index := range replacedBudgetPrograms {
		random := rand.New(rand.NewPCG(1, uint64(index)))
		programs.Go(func() { c.useUpBudget(random, fmt.Sprint("program-", index), replaced) })
	}
	c.awaitWhole(2 * replacedBudgetPrograms)
	s.machines[0].process.Kill()
	s.machines[0] = s.newMachine()
	close(replaced)
	programs.Wait()
	t.Logf("%v", c.answers)
	for _, fault := range c.faults {
		t.Error(fault)
	}
	assert.Assert(t, c.whole > 0)
}

// useUpBudget takes turns of the program until its budget is spent. Once a storage node was
// replaced, a turn may not be refused with budget_reserved in many tries in a row.
func (c *turnClients) useUpBudget(random *rand.Rand, program string, replaced <-chan struct{}) {
	client := newTurnHTTPClient()
	defer client.CloseIdleConnections()
	previous, reserved := storedTurn{}, 0
	for try := 0; ; try++ {
		turn, outcome := c.try(client, random, fmt.Sprintf("%s-%d", program, try), program, previous)
		switch outcome {
		case turnRejected:
			return
		case turnWhole:
			previous, reserved = turn, 0
		case turnReserved:
			select {
			case <-replaced:
				reserved++
			default:
			}
			if reserved > 2*turnTriesInARow {
				c.fault("turn %s of %s: %d tries in a row were refused with budget_reserved, at most %d of %d tokens are spent",
					previous.id, program, reserved, c.spend(program, 0), turnBudget)
				return
			}
			time.Sleep(replacedBudgetPause)
		case turnFailed:
			time.Sleep(replacedBudgetPause / 10)
		}
	}
}
