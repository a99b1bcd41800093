package storage

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/state/budget"
	"github.com/marblering/marblering/test/bubble"
)

// memoryRegisters keep values in memory. Changes of the registers in stalled don't end
// before their context.
type memoryRegisters struct {
	mutex   sync.Mutex
	values  map[string][]byte
	stalled map[string]bool
}

func newMemoryRegisters() *memoryRegisters {
	return &memoryRegisters{values: make(map[string][]byte), stalled: make(map[string]bool)}
}

func (r *memoryRegisters) Apply(ctx context.Context, _ uint32, key string, change register.Change) ([]byte, error) {
	if r.isStalled(key) {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next, err := change(r.values[key])
	if err == nil {
		r.values[key] = next
	}
	return next, err
}

func (r *memoryRegisters) isStalled(key string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.stalled[key]
}

// stall makes the register of the key stop answering.
func (r *memoryRegisters) stall(key string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stalled[key] = true
}

func (r *memoryRegisters) committed(t *testing.T, program string) uint64 {
	t.Helper()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record, err := budget.Decode(program, r.values[program])
	assert.NilError(t, err)
	return budget.Committed(record)
}

// quotaKey is the key of the registers of quota slots.
const quotaKey = "\nquota"

// TestStalledQuotaSlotKeepsNoBudgetCharged guards against a stop in which the release of
// quota slots uses the time for the release of budget reserves, which then stay charged.
func TestStalledQuotaSlotKeepsNoBudgetCharged(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		registers := newMemoryRegisters()
		n := &Node{logger: zap.NewNop()}
		n.ledger = tokenbudget.NewLedger("a/1", registers, func(string) uint32 { return 0 }, tokenbudget.DefaultSettings(), time.Now, n.logger)
		n.quotas = quota.NewHolder("a/1", "a", registers, time.Now, n.logger)
		serving, stop := context.WithCancel(t.Context())
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = n.quotas.Serve(serving)
		}()
		held := func() bool {
			_, isGranted := n.quotas.Take(quota.PermitRequest{}).(quota.Granted)
			return isGranted
		}
		for !held() {
			time.Sleep(10 * time.Millisecond)
		}
		for _, program := range []string{"ends", "outlasts"} {
			assert.NilError(t, n.ledger.Reserve(t.Context(), tokenbudget.Reservation{Program: program, ProgramLimit: 1000, MaxTokens: 100}))
			assert.Equal(t, registers.committed(t, program), uint64(300))
		}
		registers.stall(quotaKey)
		time.AfterFunc(releaseTimeout/2, func() { n.ledger.End("ends", 100, 40) })
		n.releaseReserves()
		ends, outlasts := registers.committed(t, "ends"), registers.committed(t, "outlasts")
		stop()
		<-served
		time.Sleep(time.Minute) // until repeated releases have ended
		assert.Equal(t, ends, uint64(40), "the program is charged with what no turn has generated")
		assert.Equal(t, outlasts, uint64(100), "the program is charged with more than its turn may generate")
	})
}
