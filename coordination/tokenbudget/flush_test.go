package tokenbudget_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/test/bubble"
)

// flushWithin stops a host within the time that a storage node has for it.
func flushWithin(t *testing.T, ledger *tokenbudget.Ledger) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	ledger.Flush(ctx)
}

// TestFlushWaitsForTurns: a storage node is stopped 0.1 s before its gateway tells it that
// a turn has ended. It gave nothing back for programs with a turn under way and didn't wait
// for the end: the turn's most and what was reserved ahead, 300 of 1,000 tokens here, were
// lost to the program, which ended with 402 that much earlier. Seen where storage nodes are
// replaced one after the other: each time one or two of some hundred programs were told
// that their budget is spent with 100 to 300 of 1,000 tokens left.
func TestFlushWaitsForTurns(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		shared := newSharedRegister()
		ledger := newLedger("a", shared)
		wanted := tokenbudget.Reservation{Program: "p", Limit: 1000, Most: 100}
		assert.NilError(t, ledger.Reserve(t.Context(), wanted))
		assert.Equal(t, shared.committed(t, "p"), uint64(300))
		time.AfterFunc(100*time.Millisecond, func() { ledger.End("p", 100, 40) })
		began := time.Now()
		flushWithin(t, ledger)
		assert.Equal(t, shared.committed(t, "p"), uint64(40))
		assert.Assert(t, time.Since(began) < 200*time.Millisecond, "no longer than it takes")
	})
}

// TestFlushReleasesUnneededReserve: a turn that lasts longer than the stop keeps its
// most, and the program gets the rest.
func TestFlushReleasesUnneededReserve(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		shared := newSharedRegister()
		ledger := newLedger("a", shared)
		wanted := tokenbudget.Reservation{Program: "p", Limit: 1000, Most: 100}
		assert.NilError(t, ledger.Reserve(t.Context(), wanted))
		flushWithin(t, ledger)
		assert.Equal(t, shared.committed(t, "p"), uint64(100))
	})
}

// TestFlushedLedgerRefusesTurns: the next host of the program does.
func TestFlushedLedgerRefusesTurns(t *testing.T) {
	shared := newSharedRegister()
	ledger := newLedger("a", shared)
	ledger.Flush(t.Context())
	assert.Assert(t, ledger.Reserve(t.Context(), tokenbudget.Reservation{Program: "p", Limit: 1000, Most: 100}) != nil)
	assert.Equal(t, shared.committed(t, "p"), uint64(0))
}
