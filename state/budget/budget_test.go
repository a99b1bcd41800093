package budget_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/budget"
)

func Example() {
	record, _ := budget.Decode("program", nil)
	fmt.Println(budget.Reserve(record, 100, budget.ReserveRequest{Holder: "a", TurnTokens: 60}))
	fmt.Println(budget.Reserve(record, 100, budget.ReserveRequest{Holder: "b", TurnTokens: 60}))
	fmt.Println(budget.Reserve(record, 100, budget.ReserveRequest{Holder: "c", TurnTokens: 60}))
	budget.Release(record, "a", 50)
	budget.Release(record, "b", 50)
	fmt.Println(budget.Reserve(record, 100, budget.ReserveRequest{Holder: "c", TurnTokens: 60}))
	// Output:
	// <nil>
	// <nil>
	// the rest of the program's budget is reserved elsewhere
	// the program's budget is spent
}

// holderModel models the state that a ledger keeps for one holder.
type holderModel struct {
	name           string
	spent, running uint64
	reserved       uint64
	turns          []uint64
}

// TestLimitHolds checks that holders together generate less than the limit plus the
// maximum of one turn, in any order of turns and with holders that crash.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Uint64Range(1, 5000).Draw(t, "limit")
		turnMax := rapid.Uint64Range(1, 600).Draw(t, "turnMax")
		record := &statev1.TokenBudget{Program: "p"}
		holders := make([]*holderModel, rapid.IntRange(1, 4).Draw(t, "holders"))
		for index := range holders {
			holders[index] = &holderModel{name: fmt.Sprint("h", index)}
		}
		var generated uint64
		for step := range 40 {
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				begin(t, record, h, limit, turnMax)
			case 2:
				if len(h.turns) > 0 {
					used := rapid.Uint64Range(0, h.turns[0]).Draw(t, "used")
					generated += used
					h.spent += used
					h.running -= h.turns[0]
					h.reserved -= min(h.reserved, used)
					h.turns = h.turns[1:]
				}
			case 3:
				if h.running == 0 {
					budget.Release(record, h.name, h.spent)
					budget.Release(record, h.name, h.spent)
					*h = holderModel{name: fmt.Sprint(h.name, "+", step)}
				}
			case 4:
				// The holder crashes, and a new process replaces it. Its running turns
				// may have generated as much as they were allowed.
				generated += h.running
				ended := h.name
				*h = holderModel{name: fmt.Sprint(h.name, "+", step)}
				if rapid.Bool().Draw(t, "settle") {
					budget.SettleEnded(record, func(holder string) bool { return holder == ended })
				}
			}
		}
		for _, h := range holders {
			generated += h.running
		}
		assert.Assert(t, generated < limit+turnMax, "%d generated, the limit is %d and the maximum of a turn %d", generated, limit, turnMax)
	})
}

// begin starts a turn from the holder's reserve, or reserves tokens first. It checks that
// ReserveResult agrees with Reserve and that Reserve is idempotent.
func begin(t *rapid.T, record *statev1.TokenBudget, h *holderModel, limit, turnMax uint64) {
	if h.reserved < h.running+turnMax {
		request := budget.ReserveRequest{Holder: h.name, Spent: h.spent, Running: h.running, TurnTokens: turnMax}
		refusal := budget.Reserve(record, limit, request)
		reserved, decided := budget.ReserveResult(record, request)
		assert.Equal(t, decided, refusal)
		if refusal != nil {
			h.reserved = h.running
			return
		}
		assert.NilError(t, budget.Reserve(record, limit, request), "repeating a request changes the decision")
		h.reserved = reserved
	}
	h.turns = append(h.turns, turnMax)
	h.running += turnMax
}

// TestTurnWithoutTokens checks turns that reserve nothing, for which
// the holder's entry is the same whether they are granted or refused.
func TestTurnWithoutTokens(t *testing.T) {
	record := &statev1.TokenBudget{Program: "p"}
	for _, c := range []struct {
		spent   uint64
		refusal error
	}{{99, nil}, {100, budget.ErrExhausted}} {
		request := budget.ReserveRequest{Holder: "a", Spent: c.spent}
		assert.Equal(t, budget.Reserve(record, 100, request), c.refusal)
		_, decided := budget.ReserveResult(record, request)
		assert.Equal(t, decided, c.refusal)
	}
}

// TestReservesDontBlockOtherHolders checks that reserves for future turns of some holders
// don't cause a turn of another holder to be refused.
func TestReservesDontBlockOtherHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Uint64Range(1, 10_000).Draw(t, "limit")
		turnMax := rapid.Uint64Range(1, 600).Draw(t, "turnMax")
		record := &statev1.TokenBudget{Program: "p"}
		var needed uint64
		for holder := range rapid.IntRange(1, 5).Draw(t, "holders") {
			if needed >= limit {
				return
			}
			err := budget.Reserve(record, limit, budget.ReserveRequest{Holder: fmt.Sprint(holder), TurnTokens: turnMax})
			if needed+turnMax <= limit/4 {
				assert.NilError(t, err)
			}
			needed += turnMax
		}
	})
}

func TestDecodeRefusesAnotherProgramsRecord(t *testing.T) {
	encoded, err := budget.Encode(&statev1.TokenBudget{Program: "a"})
	assert.NilError(t, err)
	_, err = budget.Decode("b", encoded)
	assert.ErrorContains(t, err, `budget record of program "b" belongs to program "a"`)
	_, err = budget.Decode("a", []byte{0xff})
	assert.Assert(t, err != nil)
}

// TestStandingListsHolders checks that each holder is listed, up to the maximum.
func TestStandingListsHolders(t *testing.T) {
	record := &statev1.TokenBudget{Program: "p", Settled: 5}
	assert.NilError(t, budget.Reserve(record, 100, budget.ReserveRequest{Holder: "a/1#1", Spent: 20, TurnTokens: 60}))
	assert.Equal(t, budget.Describe(record), "limit 100 settled 5, a/1#1 spent 20 reserved 60")
	for process := range 10 {
		record.Holders = append(record.Holders, &statev1.TokenHolder{Holder: fmt.Sprint("b/", process)})
	}
	assert.Assert(t, strings.HasSuffix(budget.Describe(record), ", 3 more"), budget.Describe(record))
}

// TestReservesOfEndedHoldersAreSpent checks that the reserves of ended holders count as
// spent and that the committed tokens stay the same.
func TestReservesOfEndedHoldersAreSpent(t *testing.T) {
	record := &statev1.TokenBudget{Program: "p"}
	assert.NilError(t, budget.Reserve(record, 100, budget.ReserveRequest{Holder: "a/1", Spent: 10, TurnTokens: 50}))
	assert.NilError(t, budget.Reserve(record, 100, budget.ReserveRequest{Holder: "b/1", TurnTokens: 50}))
	assert.ErrorIs(t, budget.Reserve(record, 100, budget.ReserveRequest{Holder: "a/2", TurnTokens: 50}), budget.ErrReserved)
	before := budget.Committed(record)
	budget.SettleEnded(record, func(holder string) bool { return holder != "a/2" })
	assert.Equal(t, budget.Committed(record), before)
	assert.ErrorIs(t, budget.Reserve(record, 100, budget.ReserveRequest{Holder: "a/2", TurnTokens: 50}), budget.ErrExhausted)
}
