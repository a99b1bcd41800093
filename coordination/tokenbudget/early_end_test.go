package tokenbudget_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
)

// blockingRegister blocks each change until it is resumed, also if its caller gives up.
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

// newHost returns a host and its ledger over the register.
func newHost(registers tokenbudget.Register) (*tokenbudget.Host, *tokenbudget.Ledger) {
	ledger := newLedgerOver("host", registers)
	return tokenbudget.NewHost(ledger, time.Now), ledger
}

// TestReservationEndedBeforeGrantIsReleased guards against charging a program for a
// reservation that the gateway gave up and ended while the host was still deciding it.
func TestReservationEndedBeforeGrantIsReleased(t *testing.T) {
	blocking := newBlockingRegister()
	host, ledger := newHost(blocking)
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan error)
	go func() { answered <- host.Reserve(ctx, newReservation("t")) }()
	<-blocking.started
	cancel()
	host.End([]tokenbudget.EndedTurn{{Program: "p", Reservation: "t"}})
	repeated := make(chan error)
	go func() { repeated <- host.Reserve(t.Context(), newReservation("t")) }()
	blocking.resume <- struct{}{}
	assert.Assert(t, <-answered != nil)
	assert.Assert(t, <-repeated != nil, "a repeated reservation isn't granted either")
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		ledger.Flush(t.Context())
	}()
	<-blocking.started
	blocking.resume <- struct{}{}
	<-flushed
	assert.Equal(t, blocking.committed(t, "p"), uint64(0))
}

// TestReservationAfterItsEndIsRefused guards against granting a reservation whose end
// arrived first. Earlier versions reuse the name, which must then be granted.
func TestReservationAfterItsEndIsRefused(t *testing.T) {
	shared := newSharedRegister()
	host, _ := newHost(shared)
	host.End([]tokenbudget.EndedTurn{{Program: "p", Reservation: "new"}, {Program: "p", Reservation: "old", NameMayRecur: true}})
	assert.Assert(t, host.Reserve(t.Context(), newReservation("new")) != nil)
	assert.Equal(t, shared.committed(t, "p"), uint64(0))
	assert.NilError(t, host.Reserve(t.Context(), newReservation("old")))
}
