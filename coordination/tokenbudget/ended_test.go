package tokenbudget_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
)

// heldRegister holds each change back until it is let go, also when its caller has
// given it up.
type heldRegister struct {
	*sharedRegister
	begun, letGo chan struct{}
}

func newHeldRegister() *heldRegister {
	return &heldRegister{sharedRegister: newRegister(), begun: make(chan struct{}), letGo: make(chan struct{})}
}

func (r *heldRegister) Apply(ctx context.Context, shard uint32, key string, change register.Change) ([]byte, error) {
	r.begun <- struct{}{}
	<-r.letGo
	return r.sharedRegister.Apply(ctx, shard, key, change)
}

// hostOf makes a host of the ledger over the register.
func hostOf(registers tokenbudget.Register) (*tokenbudget.Host, *tokenbudget.Ledger) {
	ledger := ledgerOver("host", registers)
	return tokenbudget.NewHost(ledger, time.Now), ledger
}

// TestReservationThatIsEndedMeanwhileIsGivenBack: a gateway gives a host up while the
// reservation is under way there and tells it that the turn has ended. The host found no
// such turn, put it down afterwards all the same, and charged its most once its time was
// over: 100 tokens of 1,000 here that nobody generated, and a 402 for a turn within its
// budget. Seen as "budget host failed" for the program and then refusals by "reserved
// elsewhere" for as long as the program asked.
func TestReservationThatIsEndedMeanwhileIsGivenBack(t *testing.T) {
	held := newHeldRegister()
	host, ledger := hostOf(held)
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan error)
	go func() { answered <- host.Reserve(ctx, turnOf("t")) }()
	<-held.begun
	cancel()
	host.End([]tokenbudget.Ended{{Program: "p", Reservation: "t"}})
	repeated := make(chan error)
	go func() { repeated <- host.Reserve(t.Context(), turnOf("t")) }()
	held.letGo <- struct{}{}
	assert.Assert(t, <-answered != nil)
	assert.Assert(t, <-repeated != nil, "nor is a repeated reservation granted")
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		ledger.Flush(t.Context())
	}()
	<-held.begun
	held.letGo <- struct{}{}
	<-flushed
	assert.Equal(t, held.committed(t, "p"), uint64(0))
}

// TestReservationThatComesAfterItsEndIsRefused: a host that was paused takes a
// reservation and its end in at once, and the end may be first. Gateways of earlier
// versions name all attempts at a turn alike: their next attempt is granted.
func TestReservationThatComesAfterItsEndIsRefused(t *testing.T) {
	shared := newRegister()
	host, _ := hostOf(shared)
	host.End([]tokenbudget.Ended{{Program: "p", Reservation: "new"}, {Program: "p", Reservation: "old", MayRecur: true}})
	assert.Assert(t, host.Reserve(t.Context(), turnOf("new")) != nil)
	assert.Equal(t, shared.committed(t, "p"), uint64(0))
	assert.NilError(t, host.Reserve(t.Context(), turnOf("old")))
}
