package tokenbudget_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/test/bubble"
)

// flushWithin flushes the ledger within the time that a stopping storage node has for it.
func flushWithin(t *testing.T, ledger *tokenbudget.Ledger) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	ledger.Flush(ctx)
}

// TestFlushWaitsForTurns guards against losing the reserve of a program whose turn ends
// shortly after its host begins to stop.
func TestFlushWaitsForTurns(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		shared := newSharedRegister()
		ledger := newLedger("a", shared)
		reservation := tokenbudget.Reservation{Program: "p", ProgramLimit: 1000, MaxTokens: 100}
		assert.NilError(t, ledger.Reserve(t.Context(), reservation))
		assert.Equal(t, shared.committed(t, "p"), uint64(300))
		time.AfterFunc(100*time.Millisecond, func() { ledger.End("p", 100, 40) })
		began := time.Now()
		flushWithin(t, ledger)
		assert.Equal(t, shared.committed(t, "p"), uint64(40))
		assert.Assert(t, time.Since(began) < 200*time.Millisecond, "Flush returns once the turn has ended")
	})
}

// TestFlushReleasesUnneededReserve: a turn that outlasts the stop keeps the tokens that it
// may generate, and the rest of the reserve is released.
func TestFlushReleasesUnneededReserve(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		shared := newSharedRegister()
		ledger := newLedger("a", shared)
		reservation := tokenbudget.Reservation{Program: "p", ProgramLimit: 1000, MaxTokens: 100}
		assert.NilError(t, ledger.Reserve(t.Context(), reservation))
		flushWithin(t, ledger)
		assert.Equal(t, shared.committed(t, "p"), uint64(100))
	})
}

// TestFlushedLedgerRefusesTurns guards against reserves that a stopping host never releases.
func TestFlushedLedgerRefusesTurns(t *testing.T) {
	shared := newSharedRegister()
	ledger := newLedger("a", shared)
	ledger.Flush(t.Context())
	assert.Assert(t, ledger.Reserve(t.Context(), tokenbudget.Reservation{Program: "p", ProgramLimit: 1000, MaxTokens: 100}) != nil)
	assert.Equal(t, shared.committed(t, "p"), uint64(0))
}

// stalledRegister is a register of several shards. Changes in the stalled shard don't end
// before their context.
type stalledRegister struct {
	*sharedRegister
	stalled atomic.Bool
}

const stalledShard = 1

func (r *stalledRegister) Apply(ctx context.Context, shard uint32, key string, change register.Change) ([]byte, error) {
	if shard == stalledShard && r.stalled.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return r.sharedRegister.Apply(ctx, shard, key, change)
}

// TestStalledShardKeepsNoOtherReserveCharged guards against a flush in which the programs of
// a shard that doesn't answer use the time of those of other shards.
func TestStalledShardKeepsNoOtherReserveCharged(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		registers := &stalledRegister{sharedRegister: newSharedRegister()}
		locate := func(program string) uint32 {
			if strings.HasPrefix(program, "stalled") {
				return stalledShard
			}
			return 0
		}
		settings := tokenbudget.DefaultSettings()
		settings.IdleTimeout = time.Hour
		ledger := tokenbudget.NewLedger("a", registers, locate, settings, time.Now, zap.NewNop())
		use := func(program string) {
			assert.NilError(t, ledger.Reserve(t.Context(), tokenbudget.Reservation{Program: program, ProgramLimit: 1000, MaxTokens: 100}))
			ledger.End(program, 100, 40)
		}
		for index := range 20 {
			use(fmt.Sprint("stalled", index))
		}
		for index := range 4 {
			use(fmt.Sprint("p", index))
		}
		registers.stalled.Store(true)
		flushWithin(t, ledger)
		var charged [4]uint64
		for index := range charged {
			charged[index] = registers.committed(t, fmt.Sprint("p", index))
		}
		time.Sleep(time.Hour) // until repeated releases have ended
		for index, tokens := range charged {
			assert.Equal(t, tokens, uint64(40), "p%d is charged with what no turn has generated", index)
		}
	})
}
