package tokenbudget_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
)

// blockingRegister holds each change back until it is let go, also when its caller has
// given it up.
type blockingRegister struct {
	*sharedRegister
	started, resume chan struct{}
}

func newBlockingRegister() *blockingRegister {
	return &blockingRegister{sharedRegister: newSharedRegister(), started: make(chan struct{}), resume: make(chan struct{})}
}

func (r *blockingRegister) Apply(ctx context.Context, shard uint32, key string, change register.Change) ([]byte, error) {
	r.started <- struct{}{}
	<-r.resume
	return r.sharedRegister.Apply(ctx, shard, key, change)
}

// newHost makes a host of the ledger over the register.
func newHost(registers tokenbudget.Register) (*tokenbudget.Host, *tokenbudget.Ledger) {
	ledger := newLedgerOver("host", registers)
	return tokenbudget.NewHost(ledger, time.Now), ledger
}

// TestReservationEndedBeforeGrantIsReleased: a gateway gives a host up while the
// reservation is under way there and tells it that the turn has ended. The host found no
// such turn, put it down afterwards all the same, and charged its most once its time was
// over: 100 tokens of 1,000 here that nobody generated, and a 402 for a turn within its
// budget. Seen as "budget host failed" for the program and then refusals by "reserved
// elsewhere" for as long as the program asked.
func TestReservationEndedBeforeGrantIsReleased(t *testing.T) {
	held := newBlockingRegister()
	host, ledger := newHost(held)
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan error)
	go func() { answered <- host.Reserve(ctx, newReservation("t")) }()
	<-held.started
	cancel()
	host.End([]tokenbudget.Ended{{Program: "p", Reservation: "t"}})
	repeated := make(chan error)
	go func() { repeated <- host.Reserve(t.Context(), newReservation("t")) }()
	held.resume <- struct{}{}
	assert.Assert(t, <-answered != nil)
	assert.Assert(t, <-repeated != nil, "nor is a repeated reservation granted")
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		ledger.Flush(t.Context())
	}()
	<-held.started
	held.resume <- struct{}{}
	<-flushed
	assert.Equal(t, held.committed(t, "p"), uint64(0))
}

// TestReservationAfterItsEndIsRefused: a host that was paused takes a
// reservation and its end in at once, and the end may be first. Gateways of earlier
// versions name all attempts at a turn alike: their next attempt is granted.
func TestReservationAfterItsEndIsRefused(t *testing.T) {
	shared := newSharedRegister()
	host, _ := newHost(shared)
	host.End([]tokenbudget.Ended{{Program: "p", Reservation: "new"}, {Program: "p", Reservation: "old", MayRecur: true}})
	assert.Assert(t, host.Reserve(t.Context(), newReservation("new")) != nil)
	assert.Equal(t, shared.committed(t, "p"), uint64(0))
	assert.NilError(t, host.Reserve(t.Context(), newReservation("old")))
}
