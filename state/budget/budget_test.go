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
	fmt.Println(budget.Reserve(record, 100, budget.Draw{Holder: "a", Turn: 60}))
	fmt.Println(budget.Reserve(record, 100, budget.Draw{Holder: "b", Turn: 60}))
	fmt.Println(budget.Reserve(record, 100, budget.Draw{Holder: "c", Turn: 60}))
	budget.Release(record, "a", 50)
	budget.Release(record, "b", 50)
	fmt.Println(budget.Reserve(record, 100, budget.Draw{Holder: "c", Turn: 60}))
	// Output:
	// <nil>
	// <nil>
	// the rest of the program's budget is reserved elsewhere
	// the program's budget is spent
}

// gateway models the state that a ledger keeps for one holder.
type gateway struct {
	name            string
	spent, underWay uint64
	reserved        uint64
	turns           []uint64
}

// TestLimitHolds checks that holders together generate less than the limit plus the
// maximum of one turn, in any order of turns and with holders that crash.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Uint64Range(1, 5000).Draw(t, "limit")
		most := rapid.Uint64Range(1, 600).Draw(t, "most")
		record := &statev1.TokenBudget{Program: "p"}
		gateways := make([]*gateway, rapid.IntRange(1, 4).Draw(t, "gateways"))
		for index := range gateways {
			gateways[index] = &gateway{name: fmt.Sprint("g", index)}
		}
		var handedOut uint64
		for step := range 40 {
			g := rapid.SampledFrom(gateways).Draw(t, "gateway")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				begin(t, record, g, limit, most)
			case 2:
				if len(g.turns) > 0 {
					used := rapid.Uint64Range(0, g.turns[0]).Draw(t, "used")
					handedOut += used
					g.spent += used
					g.underWay -= g.turns[0]
					g.reserved -= min(g.reserved, used)
					g.turns = g.turns[1:]
				}
			case 3:
				if g.underWay == 0 {
					budget.Release(record, g.name, g.spent)
					budget.Release(record, g.name, g.spent)
					*g = gateway{name: fmt.Sprint(g.name, "+", step)}
				}
			case 4:
				// The holder crashes, and a new process replaces it. Its running turns
				// may have generated as much as they were allowed.
				handedOut += g.underWay
				ended := g.name
				*g = gateway{name: fmt.Sprint(g.name, "+", step)}
				if rapid.Bool().Draw(t, "settle") {
					budget.SettleEnded(record, func(holder string) bool { return holder == ended })
				}
			}
		}
		for _, g := range gateways {
			handedOut += g.underWay
		}
		assert.Assert(t, handedOut < limit+most, "%d handed out of %d and %d", handedOut, limit, most)
	})
}

// begin starts a turn from the holder's reserve, or reserves tokens first. It checks that
// Decided agrees with Reserve and that Reserve is idempotent.
func begin(t *rapid.T, record *statev1.TokenBudget, g *gateway, limit, most uint64) {
	if g.reserved < g.underWay+most {
		draw := budget.Draw{Holder: g.name, Spent: g.spent, UnderWay: g.underWay, Turn: most}
		refusal := budget.Reserve(record, limit, draw)
		reserved, decided := budget.Decided(record, draw)
		assert.Equal(t, decided, refusal)
		if refusal != nil {
			g.reserved = g.underWay
			return
		}
		assert.NilError(t, budget.Reserve(record, limit, draw), "repeating a draw changes the decision")
		g.reserved = reserved
	}
	g.turns = append(g.turns, most)
	g.underWay += most
}

// TestTurnWithoutTokensIsDecidedByTheRest checks turns that reserve nothing, for which
// the holder's entry is the same whether they are granted or refused.
func TestTurnWithoutTokensIsDecidedByTheRest(t *testing.T) {
	record := &statev1.TokenBudget{Program: "p"}
	for _, c := range []struct {
		spent   uint64
		refusal error
	}{{99, nil}, {100, budget.ErrSpent}} {
		draw := budget.Draw{Holder: "a", Spent: c.spent}
		assert.Equal(t, budget.Reserve(record, 100, draw), c.refusal)
		_, decided := budget.Decided(record, draw)
		assert.Equal(t, decided, c.refusal)
	}
}

// TestReservesNeverKeepFromATurn checks that reserves for future turns of some holders
// don't cause a turn of another holder to be refused.
func TestReservesNeverKeepFromATurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Uint64Range(1, 10_000).Draw(t, "limit")
		most := rapid.Uint64Range(1, 600).Draw(t, "most")
		record := &statev1.TokenBudget{Program: "p"}
		var needed uint64
		for holder := range rapid.IntRange(1, 5).Draw(t, "holders") {
			if needed >= limit {
				return
			}
			err := budget.Reserve(record, limit, budget.Draw{Holder: fmt.Sprint(holder), Turn: most})
			if needed+most <= limit/4 {
				assert.NilError(t, err)
			}
			needed += most
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

// TestStandingNamesWhoHoldsWhat checks that each holder is listed, up to the maximum.
func TestStandingNamesWhoHoldsWhat(t *testing.T) {
	record := &statev1.TokenBudget{Program: "p", Settled: 5}
	assert.NilError(t, budget.Reserve(record, 100, budget.Draw{Holder: "a/1#1", Spent: 20, Turn: 60}))
	assert.Equal(t, budget.Standing(record), "limit 100 settled 5, a/1#1 spent 20 reserved 60")
	for process := range 10 {
		record.Holders = append(record.Holders, &statev1.TokenHolder{Holder: fmt.Sprint("b/", process)})
	}
	assert.Assert(t, strings.HasSuffix(budget.Standing(record), ", 3 more"), budget.Standing(record))
}

// TestEndedHoldersAreSpent checks that the reserves of ended holders count as spent and
// that the committed tokens stay the same.
func TestEndedHoldersAreSpent(t *testing.T) {
	record := &statev1.TokenBudget{Program: "p"}
	assert.NilError(t, budget.Reserve(record, 100, budget.Draw{Holder: "a/1", Spent: 10, Turn: 50}))
	assert.NilError(t, budget.Reserve(record, 100, budget.Draw{Holder: "b/1", Turn: 50}))
	assert.ErrorIs(t, budget.Reserve(record, 100, budget.Draw{Holder: "a/2", Turn: 50}), budget.ErrReserved)
	before := budget.Committed(record)
	budget.SettleEnded(record, func(holder string) bool { return holder != "a/2" })
	assert.Equal(t, budget.Committed(record), before)
	assert.ErrorIs(t, budget.Reserve(record, 100, budget.Draw{Holder: "a/2", Turn: 50}), budget.ErrSpent)
}
