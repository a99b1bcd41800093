package quota

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/test/bubble"
)

// stalledRegisters hold one claim for each slot. The changes of a stalled slot don't end
// before their context.
type stalledRegisters struct {
	mutex   sync.Mutex
	values  map[uint32][]byte
	stalled map[uint32]bool
}

func (r *stalledRegisters) Apply(ctx context.Context, slot uint32, _ string, change register.Change) ([]byte, error) {
	if r.isStalled(slot) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next, err := change(r.values[slot])
	if err == nil {
		r.values[slot] = next
	}
	return next, err
}

func (r *stalledRegisters) isStalled(slot uint32) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.stalled[slot]
}

func (r *stalledRegisters) holder(t *testing.T, slot uint32) string {
	t.Helper()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	current, err := decodeClaim(r.values[slot])
	assert.NilError(t, err)
	return current.Holder
}

// TestStalledSlotKeepsNoOtherSlotHeld guards against a stopping node that keeps slots
// because the register of another slot doesn't answer.
func TestStalledSlotKeepsNoOtherSlotHeld(t *testing.T) {
	const slots = 8
	for stalled := range uint32(slots) {
		bubble.Test(t, func(t *testing.T) {
			registers := &stalledRegisters{values: make(map[uint32][]byte), stalled: make(map[uint32]bool)}
			holder := NewHolder("a/1", "a", registers, time.Now, zap.NewNop())
			for slot := range uint32(slots) {
				holder.Take(PermitRequest{Share: Share{Slot: slot}})
				holder.changeLease(t.Context(), slot, holder.slots[slot])
				assert.Equal(t, registers.holder(t, slot), "a/1")
			}
			registers.mutex.Lock()
			registers.stalled[stalled] = true
			registers.mutex.Unlock()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			holder.Release(ctx)
			for slot := range uint32(slots) {
				if slot != stalled {
					assert.Equal(t, registers.holder(t, slot), "", "slot %d is still held", slot)
				}
			}
		})
	}
}
