package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

// TestBudgetHoldsOverParallelSubPrograms lets sub-programs at three nodes spend
// one budget at once, while an engine's answers come under other ids, so that
// attempts are lost and made again.
func TestBudgetHoldsOverParallelSubPrograms(t *testing.T) {
	t.Parallel()
	const (
		budget   = 1500
		children = 6
		turns    = 4
	)
	s := newSystem(t, layout{zones: 3, engines: 2})
	root := s.createProgram(t, 0, budget)
	s.engines[0].setFaults(t, engine.Faults{CrossIDs: true})
	var group sync.WaitGroup
	var mutex sync.Mutex
	told := map[result.Code]int{}
	for index := range children {
		child := s.createChild(t, index%len(s.nodes), root)
		group.Go(func() {
			for turn := range turns {
				known := s.insist(patient(t), index%len(s.nodes), request{
					program: child, key: fmt.Sprintf("turn-%d", turn), text: fmt.Sprintf("question %d of %d", turn, index),
				})
				mutex.Lock()
				told[known.code()]++
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	assert.Assert(t, told[result.OK] > 0, "%v", told)
	assert.Assert(t, told[result.BudgetExhausted] > 0, "the budget was never reached: %v", told)
	var computed uint64
	for _, made := range s.attempts(t, root) {
		computed += made.PromptTokens + made.OutputTokens
	}
	assert.Assert(t, computed <= budget, "the engines computed %d tokens for a budget of %d", computed, budget)
	var read callerapi.Program
	assert.NilError(t, json.Unmarshal(s.ask(t, 2, http.MethodGet, "/v1/programs/"+root, nil), &read))
	assert.Assert(t, read.SpentTokens <= budget)
	assert.Assert(t, computed <= read.SpentTokens, "%d computed, %d charged", computed, read.SpentTokens)
	assert.Equal(t, read.ReservedTokens, uint64(0))
}
