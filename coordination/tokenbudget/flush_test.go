package tokenbudget_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
