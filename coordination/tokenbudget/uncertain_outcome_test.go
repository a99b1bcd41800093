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

// retryingRegister evaluates each change on one record and then on another, and chooses the
// result of the first evaluation. A register does so if it retries without an answer and the
// earlier attempt was chosen.
type retryingRegister struct{ first, second []byte }

func (r *retryingRegister) Apply(_ context.Context, _ uint32, _ string, change register.Change) ([]byte, error) {
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

// TestReserveUsesChosenRecord guards against decisions from a record that wasn't chosen: turns
// would run without a reserve, or be refused with their tokens reserved.
func TestReserveUsesChosenRecord(t *testing.T) {
	encode := func(settled uint64) []byte {
		encoded, err := budget.Encode(&statev1.TokenBudget{Program: "p", Limit: 100, Settled: settled})
		assert.NilError(t, err)
		return encoded
	}
	reservation := tokenbudget.Reservation{Program: "p", ProgramLimit: 100, MaxTokens: 100}

	refused := newLedgerOver("a", &retryingRegister{first: encode(100), second: encode(0)})
	assert.ErrorIs(t, refused.Reserve(t.Context(), reservation), budget.ErrExhausted)

	granted := newLedgerOver("a", &retryingRegister{first: encode(0), second: encode(100)})
	assert.NilError(t, granted.Reserve(t.Context(), reservation))
}

// lossyRegister makes each change and reports an unknown outcome while isLossy is set.
type lossyRegister struct {
	*sharedRegister
	isLossy bool
}

func (r *lossyRegister) Apply(ctx context.Context, shard uint32, key string, change register.Change) ([]byte, error) {
	value, err := r.sharedRegister.Apply(ctx, shard, key, change)
	if r.isLossy {
		return nil, register.ErrUnknownOutcome
	}
	return value, err
}

// TestUnknownOutcomeKeepsOnlyGuaranteedReserve guards against turns that begin from a reserve
// that a refused request, whose answer was lost, has already released.
func TestUnknownOutcomeKeepsOnlyGuaranteedReserve(t *testing.T) {
	shared := newSharedRegister()
	lossy := &lossyRegister{sharedRegister: shared}
	first, second := newLedgerOver("a", lossy), newLedger("b", shared)
	reservation := tokenbudget.Reservation{Program: "p", ProgramLimit: 1000, MaxTokens: 100}
	assert.NilError(t, first.Reserve(t.Context(), reservation))
	first.End("p", 100, 40)
	other := tokenbudget.Reservation{Program: "p", ProgramLimit: 1000, MaxTokens: 960}
	assert.NilError(t, second.Reserve(t.Context(), other))
	assert.Equal(t, shared.committed(t, "p"), uint64(1260))

	lossy.isLossy = true
	reservation.MaxTokens = 300
	assert.ErrorIs(t, first.Reserve(t.Context(), reservation), register.ErrUnknownOutcome)
	assert.Equal(t, shared.committed(t, "p"), uint64(1000), "the refused request has released 260 tokens")
	reservation.MaxTokens = 260
	assert.Assert(t, first.Reserve(t.Context(), reservation) != nil, "the released tokens aren't available to this host any more")
}
