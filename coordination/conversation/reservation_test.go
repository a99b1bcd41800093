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

// memoryRegister is a register that is reached at once.
type memoryRegister struct{ value []byte }

func (r *memoryRegister) Apply(_ context.Context, _ uint32, _ string, change register.Change) ([]byte, error) {
	next, err := change(r.value)
	if err == nil {
		r.value = next
	}
	return next, err
}

// delayedEnds is a host that hears of ended turns only when they are passed on, and whose
// first grant doesn't reach the gateway.
type delayedEnds struct {
	host *tokenbudget.Host
	lost bool
	pending []tokenbudget.Ended
}

func (l *delayedEnds) Reserve(ctx context.Context, wanted tokenbudget.Reservation) error {
	err := l.host.Reserve(ctx, wanted)
	if !l.lost {
		l.lost = true
		// The gateway gives the host up and tells it, later, that the attempt has ended.
		l.pending = append(l.pending, tokenbudget.Ended{Program: wanted.Program, Reservation: wanted.Name})
		return tokenbudget.ErrUnavailable
	}
	return err
}

func (l *delayedEnds) End(ended tokenbudget.Ended) { l.pending = append(l.pending, ended) }

func (l *delayedEnds) deliver() {
	l.host.End(l.pending)
	l.pending = nil
}

// TestLateEndKeepsNextAttempt: a client's request is given up at the host
// of its budget, and the client sends it again under the same id. The gateway tells the
// host that the first attempt has ended only after the second was granted. Under one name
// for both, this end took the second attempt off; what it generated was counted by
// nobody, and the program went beyond its budget. Seen where gateways gave hosts up for
// being slow ("budget host failed", then a grant 0.4 s later at the same host) and the
// turn after the last one that the budget allows was served.
func TestLateEndKeepsNextAttempt(t *testing.T) {
	record := &memoryRegister{}
	settings := tokenbudget.Settings{
		IdleTime: time.Hour, ReleaseTimeout: time.Second, ReleasePause: time.Millisecond, ReleaseTries: 1,
		Draws: limit.DefaultAdaptivePolicy(), Crowd: limit.DefaultAdaptivePolicy(),
	}
	ledger := tokenbudget.New("host", record, func(string) uint32 { return 0 }, settings, time.Now, zap.NewNop())
	carried := &delayedEnds{host: tokenbudget.NewHost(ledger, time.Now)}
	number := uint64(0)
	distinct := func() uint64 { number++; return number }
	service := conversation.New(nil, carried, func() bool { return false }, time.Now, distinct, zap.NewNop())
	request := conversation.Request{ID: "t", Program: "p", Budget: 1000, Most: 100, TokensPerEvent: 25, Timeout: time.Minute}

	_, refusal := service.Begin(t.Context(), request)
	assert.Assert(t, refusal != nil, "the first attempt is given up")
	turn, refusal := service.Begin(t.Context(), request)
	assert.Assert(t, refusal == nil, "the second is granted")
	carried.deliver()
	for range 4 {
		turn.Event([]byte("x"))
	}
	turn.End()
	carried.deliver()
	ledger.Flush(t.Context())
	decoded, err := budget.Decode("p", record.value)
	assert.NilError(t, err)
	assert.Equal(t, budget.Committed(decoded), uint64(100))
}
