package quota

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
)

// retriedRegisters call each change on one claim and then, as if that try had found no
// answer, on another one; the first try turns out to be chosen.
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
	chosen, err := change(first)
	// What the second try says doesn't count.
	_, _ = change(second)
	return chosen, err
}

// TestHolderGoesByTheClaimThatWasChosen: a holder renews its claim of term 3, and the
// renewal is tried twice. The second try finds the claim of another node and is refused, or
// takes a slot that seems vacant; the first one is chosen. The holder took the term that
// the last try left, 0 or 8, for that of its slot and began the accounts of all tenants
// anew, each with its whole burst.
func TestHolderGoesByTheClaimThatWasChosen(t *testing.T) {
	for name, second := range map[string]claim{
		"held by another": {Holder: "b/1", Node: "b", Term: 7},
		"vacant":          {Term: 7},
	} {
		t.Run(name, func(t *testing.T) {
			registers := &retriedRegisters{first: claim{Holder: "a/1", Node: "a", Term: 3}, second: second}
			holder := NewHolder("a/1", "a", registers, time.Now, zap.NewNop())
			holder.Take(Ask{})
			one := holder.slots[0]
			holder.changeLease(t.Context(), 0, one)
			assert.Assert(t, one.lease.holds(time.Now()))
			assert.Equal(t, one.lease.own.Term, uint64(3))
		})
	}
}
