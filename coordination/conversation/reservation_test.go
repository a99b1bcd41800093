package conversation_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/state/budget"
)

// memoryRegister is a register in memory.
type memoryRegister struct{ value []byte }

func (r *memoryRegister) Apply(_ context.Context, _ uint32, _ string, change register.Change) ([]byte, error) {
	next, err := change(r.value)
	if err == nil {
		r.value = next
	}
	return next, err
}

// delayedEnds delivers ended turns to the host only on request, and loses the first grant on
// its way to the gateway.
type delayedEnds struct {
	host      *tokenbudget.Host
	grantLost bool
	pending   []tokenbudget.EndedTurn
}

func (d *delayedEnds) Reserve(ctx context.Context, wanted tokenbudget.Reservation) error {
	err := d.host.Reserve(ctx, wanted)
	if !d.grantLost {
		d.grantLost = true
		// The gateway gives up on the host, which is told later that the attempt has ended.
		d.pending = append(d.pending, tokenbudget.EndedTurn{Program: wanted.Program, Reservation: wanted.Name})
		return tokenbudget.ErrUnavailable
	}
	return err
}

func (d *delayedEnds) End(ended tokenbudget.EndedTurn) { d.pending = append(d.pending, ended) }

func (d *delayedEnds) deliver() {
	d.host.End(d.pending)
	d.pending = nil
}

// TestLateEndKeepsNextAttempt guards against the late end of an abandoned attempt ending the
// retry under the same id, whose tokens would then be uncounted.
func TestLateEndKeepsNextAttempt(t *testing.T) {
	record := &memoryRegister{}
	settings := tokenbudget.LedgerSettings{
		IdleTimeout: time.Hour, ReleaseTimeout: time.Second, ReleasePause: time.Millisecond, MaxReleaseAttempts: 1,
		AllChanges: limit.DefaultAdaptivePolicy(), LowPriorityChanges: limit.DefaultAdaptivePolicy(),
	}
	ledger := tokenbudget.NewLedger("host", record, func(string) uint32 { return 0 }, settings, time.Now, zap.NewNop())
	budgets := &delayedEnds{host: tokenbudget.NewHost(ledger, time.Now)}
	number := uint64(0)
	nextNumber := func() uint64 { number++; return number }
	service := conversation.New(nil, budgets, func() bool { return false }, time.Now, nextNumber, zap.NewNop())
	request := conversation.Request{ID: "t", Program: "p", Budget: 1000, MaxTokens: 100, TokensPerEvent: 25, Timeout: time.Minute}

	_, refusal := service.Begin(t.Context(), request)
	assert.Assert(t, refusal != nil, "the first attempt was granted")
	turn, refusal := service.Begin(t.Context(), request)
	assert.Assert(t, refusal == nil, "the second attempt was refused")
	budgets.deliver()
	for range 4 {
		turn.Event([]byte("x"))
	}
	turn.End()
	budgets.deliver()
	ledger.Flush(t.Context())
	decoded, err := budget.Decode("p", record.value)
	assert.NilError(t, err)
	assert.Equal(t, budget.Committed(decoded), uint64(100))
}
