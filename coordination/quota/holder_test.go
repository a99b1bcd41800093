package quota

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
)

// retriedRegisters call each change twice, on two claims, and commit the result of the first
// call.
type retriedRegisters struct{ first, second claim }

func (r *retriedRegisters) Apply(_ context.Context, _ uint32, _ string, change register.Change) ([]byte, error) {
	first, err := encodeClaim(r.first)
	if err != nil {
		return nil, err
	}
	second, err := encodeClaim(r.second)
	if err != nil {
		return nil, err
	}
	committed, err := change(first)
	// The result of the second call is discarded.
	_, _ = change(second)
	return committed, err
}

// TestHolderUsesCommittedClaim guards against a holder that adopts the term of an
// uncommitted attempt, which would grant each tenant's burst again.
func TestHolderUsesCommittedClaim(t *testing.T) {
	for name, second := range map[string]claim{
		"held by another": {Holder: "b/1", Node: "b", Term: 7},
		"vacant":          {Term: 7},
	} {
		t.Run(name, func(t *testing.T) {
			registers := &retriedRegisters{first: claim{Holder: "a/1", Node: "a", Term: 3}, second: second}
			holder := NewHolder("a/1", "a", registers, time.Now, zap.NewNop())
			holder.Take(PermitRequest{})
			held := holder.slots[0]
			holder.changeLease(t.Context(), 0, held)
			assert.Assert(t, held.lease.holds(time.Now()))
			assert.Equal(t, held.lease.own.Term, uint64(3))
		})
	}
}
