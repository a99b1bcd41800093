package tokenbudget_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/state/budget"
)

// retriedRegister calls each change on one record and then, as if that try had found no
// answer, on another one; the first try turns out to be chosen.
// register.TestEarlierEvaluationMayBeChosen has an order of messages that does this.
type retriedRegister struct{ first, second []byte }

func (r *retriedRegister) Apply(_ context.Context, _ uint32, _ string, change register.Change) ([]byte, error) {
	chosen, err := change(r.first)
	if err != nil {
		return nil, err
	}
	if _, err := change(r.second); err != nil {
		return nil, err
	}
	r.first = chosen
	return chosen, nil
}

// TestTurnBeginsByTheRecordThatWasChosen: a draw is tried twice, and each try finds another
// record. The ledger took the word of the last one: where that granted the turn and the
// chosen one refused it, the turn ran though no record knew of its tokens, and the next
// one was let begin beyond the budget; the other way round a turn was refused and its
// tokens stayed reserved.
func TestTurnBeginsByTheRecordThatWasChosen(t *testing.T) {
	encode := func(settled uint64) []byte {
		encoded, err := budget.Encode(&statev1.TokenBudget{Program: "p", Limit: 100, Settled: settled})
		assert.NilError(t, err)
		return encoded
	}
	wanted := tokenbudget.Reservation{Program: "p", Limit: 100, Most: 100}

	refused := ledgerOver("a", &retriedRegister{first: encode(100), second: encode(0)})
	assert.ErrorIs(t, refused.Reserve(t.Context(), wanted), budget.ErrSpent)

	granted := ledgerOver("a", &retriedRegister{first: encode(0), second: encode(100)})
	assert.NilError(t, granted.Reserve(t.Context(), wanted))
}

// lostRegister makes a change and doesn't say so.
type lostRegister struct {
	*sharedRegister
	isLost bool
}

func (r *lostRegister) Apply(ctx context.Context, shard uint32, key string, change register.Change) ([]byte, error) {
	value, err := r.sharedRegister.Apply(ctx, shard, key, change)
	if r.isLost {
		return nil, register.ErrUnknownOutcome
	}
	return value, err
}

// TestReserveIsCertain: a draw is refused, which gives back what the host had left, and the
// answer is lost. The host went on with what it had before, 260 tokens, and let a smaller
// turn begin from them, which no record knew.
func TestReserveIsCertain(t *testing.T) {
	shared := newRegister()
	lost := &lostRegister{sharedRegister: shared}
	first, second := ledgerOver("a", lost), newLedger("b", shared)
	wanted := tokenbudget.Reservation{Program: "p", Limit: 1000, Most: 100}
	assert.NilError(t, first.Reserve(t.Context(), wanted))
	first.End("p", 100, 40)
	other := tokenbudget.Reservation{Program: "p", Limit: 1000, Most: 960}
	assert.NilError(t, second.Reserve(t.Context(), other))
	assert.Equal(t, shared.committed(t, "p"), uint64(1260))

	lost.isLost = true
	wanted.Most = 300
	assert.ErrorIs(t, first.Reserve(t.Context(), wanted), register.ErrUnknownOutcome)
	assert.Equal(t, shared.committed(t, "p"), uint64(1000), "the refused draw has given 260 back")
	wanted.Most = 260
	assert.Assert(t, first.Reserve(t.Context(), wanted) != nil, "they aren't this host's any more")
}
