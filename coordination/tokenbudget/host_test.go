package tokenbudget_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/state/budget"
	"github.com/marblering/marblering/test/harness"
)

// network carries requests to hosts by their addresses.
type network struct {
	mutex sync.Mutex
	hosts map[string]*tokenbudget.Host
	// down hosts don't answer; lossy ones act and lose the answer.
	down, lossy map[string]bool
	asked       []string
	// reservations counts the requests that were no ends.
	reservations int
	// onAsk is called for each request.
	onAsk func(address string)
}

func (n *network) host(address string) (*tokenbudget.Host, bool, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.asked = append(n.asked, address)
	if n.onAsk != nil {
		n.onAsk(address)
	}
	if n.down[address] {
		return nil, false, errAnswerLost
	}
	return n.hosts[address], n.lossy[address], nil
}

func (n *network) Reserve(ctx context.Context, address string, wanted tokenbudget.Reservation, ended []tokenbudget.Ended) error {
	n.mutex.Lock()
	n.reservations++
	n.mutex.Unlock()
	host, lossy, err := n.host(address)
	if err != nil {
		return err
	}
	host.End(ended)
	err = host.Reserve(ctx, wanted)
	if lossy {
		return errAnswerLost
	}
	return err
}

func (n *network) End(_ context.Context, address string, ended []tokenbudget.Ended) error {
	host, _, err := n.host(address)
	if err == nil {
		host.End(ended)
	}
	return err
}

// reservationCount is how often any host was asked for a reservation.
func (n *network) reservationCount() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.reservations
}

type staticViews struct{ members []register.Member }

func (v staticViews) View(uint32) (register.View, bool) {
	return register.View{Epoch: 1, Members: v.members}, len(v.members) > 0
}
func (staticViews) Locate(string) uint32 { return 0 }

func newNetwork(shared *sharedRegister, count int) (*network, staticViews) {
	carried := &network{hosts: make(map[string]*tokenbudget.Host), down: make(map[string]bool), lossy: make(map[string]bool)}
	var view staticViews
	for index := range count {
		name := fmt.Sprint("host", index)
		carried.hosts[name] = tokenbudget.NewHost(newLedger(name, shared), time.Now)
		view.members = append(view.members, register.Member{Node: name, Address: name})
	}
	return carried, view
}

func newClient(carried *network, view staticViews) *tokenbudget.Client {
	return tokenbudget.NewClient(carried, view, reach.New(time.Now), time.Now, zap.NewNop())
}

func newReservation(id string) tokenbudget.Reservation {
	return tokenbudget.Reservation{Program: "p", Name: id, Limit: 1000, Most: 100, Lifetime: time.Minute}
}

// TestClientsAskTheSameHost while it answers.
func TestClientsAskTheSameHost(t *testing.T) {
	carried, view := newNetwork(newSharedRegister(), 3)
	for index := range 4 {
		client := newClient(carried, view)
		assert.NilError(t, client.Reserve(context.Background(), newReservation(fmt.Sprint(index))))
	}
	for _, address := range carried.asked {
		assert.Equal(t, address, carried.asked[0])
	}
}

// TestFailoverToNextHost, and what the failed one may have reserved is
// ended there.
func TestFailoverToNextHost(t *testing.T) {
	for _, lossy := range []bool{false, true} {
		shared := newSharedRegister()
		carried, view := newNetwork(shared, 3)
		client := newClient(carried, view)
		assert.NilError(t, client.Reserve(context.Background(), newReservation("first")))
		home := carried.asked[0]
		client.End(tokenbudget.Ended{Program: "p", Reservation: "first", HandedOut: 100})
		client.Flush(context.Background())
		carried.down[home], carried.lossy[home] = !lossy, lossy
		assert.NilError(t, client.Reserve(context.Background(), newReservation("second")))
		assert.Assert(t, carried.asked[len(carried.asked)-1] != home)
		carried.down[home], carried.lossy[home] = false, false
		client.Flush(context.Background())
		assert.NilError(t, client.Reserve(context.Background(), newReservation("third")))
		assert.Assert(t, carried.asked[len(carried.asked)-1] != home, "a host that failed is asked last for a while")
	}
}

func TestNoHostAnswers(t *testing.T) {
	carried, view := newNetwork(newSharedRegister(), 2)
	carried.down["host0"], carried.down["host1"] = true, true
	assert.ErrorIs(t, newClient(carried, view).Reserve(context.Background(), newReservation("t")), tokenbudget.ErrUnavailable)
	assert.ErrorIs(t, newClient(carried, staticViews{}).Reserve(context.Background(), newReservation("t")), tokenbudget.ErrUnavailable)
}

// TestBreakerRefusesUnreachableShard after some tries, and asked again soon.
func TestBreakerRefusesUnreachableShard(t *testing.T) {
	carried, view := newNetwork(newSharedRegister(), 2)
	carried.down["host0"], carried.down["host1"] = true, true
	now := time.Now()
	client := tokenbudget.NewClient(carried, view, reach.New(func() time.Time { return now }), func() time.Time { return now }, zap.NewNop())
	for i := range 10 {
		assert.ErrorIs(t, client.Reserve(context.Background(), newReservation(fmt.Sprint("t", i))), tokenbudget.ErrUnavailable)
	}
	assert.Equal(t, carried.reservationCount(), 6, "three tries at two hosts")
	carried.down["host0"], carried.down["host1"] = false, false
	now = now.Add(time.Second)
	assert.NilError(t, client.Reserve(context.Background(), newReservation("t")))
	assert.NilError(t, client.Reserve(context.Background(), newReservation("u")))
}

// TestOpenBreakerAdmitsOneProbe: when its time is over, a single request
// tries it, and each failed trial closes it for longer.
func TestOpenBreakerAdmitsOneProbe(t *testing.T) {
	carried, view := newNetwork(newSharedRegister(), 2)
	carried.down["host0"], carried.down["host1"] = true, true
	now := time.Now()
	client := tokenbudget.NewClient(carried, view, reach.New(func() time.Time { return now }), func() time.Time { return now }, zap.NewNop())
	ask := func(times int) int {
		before := carried.reservationCount()
		for i := range times {
			assert.ErrorIs(t, client.Reserve(context.Background(), newReservation(fmt.Sprint("t", i))), tokenbudget.ErrUnavailable)
		}
		return carried.reservationCount() - before
	}
	ask(3)
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		ask(50)
	}
	assert.Assert(t, carried.reservationCount() <= 2*(3+7), "%d requests to hosts in 6 s", carried.reservationCount())
	carried.down["host0"], carried.down["host1"] = false, false
	now = now.Add(2 * time.Second)
	assert.NilError(t, client.Reserve(context.Background(), newReservation("t")))
	assert.NilError(t, client.Reserve(context.Background(), newReservation("u")), "open again")
}

// TestSlowAttemptsAreBounded: hosts that are slow together are overloaded.
func TestSlowAttemptsAreBounded(t *testing.T) {
	carried, view := newNetwork(newSharedRegister(), 5)
	now := time.Now()
	carried.onAsk = func(string) { now = now.Add(350 * time.Millisecond) }
	for i := range 5 {
		carried.down[fmt.Sprint("host", i)] = true
	}
	client := tokenbudget.NewClient(carried, view, reach.New(func() time.Time { return now }), func() time.Time { return now }, zap.NewNop())
	assert.ErrorIs(t, client.Reserve(context.Background(), newReservation("t")), tokenbudget.ErrUnavailable)
	assert.Equal(t, carried.reservationCount(), 2)
	carried.onAsk = nil
	assert.ErrorIs(t, client.Reserve(context.Background(), newReservation("u")), tokenbudget.ErrUnavailable)
	assert.Equal(t, carried.reservationCount(), 7, "those that fail at once cost nothing")
}

// hangingRegister answers nothing until its caller gives up.
type hangingRegister struct {
	asked atomic.Int64
	// sharedRegister answers for the programs that are served.
	*sharedRegister
	served string
}

func (r *hangingRegister) Apply(ctx context.Context, shard uint32, key string, change register.Change) ([]byte, error) {
	if key == r.served {
		return r.sharedRegister.Apply(ctx, shard, key, change)
	}
	r.asked.Add(1)
	<-ctx.Done()
	return nil, register.ErrNoQuorum
}

// TestOverloadedHostIsNotRetriedElsewhere: its requests would only overload the next.
func TestOverloadedHostIsNotRetriedElsewhere(t *testing.T) {
	carried, view := newNetwork(newSharedRegister(), 5)
	hanging := &hangingRegister{sharedRegister: newSharedRegister(), served: "served"}
	settings := tokenbudget.DefaultSettings()
	settings.Draws = limit.AdaptivePolicy{Start: 2, Min: 2, Max: 2}
	fixed := time.Now()
	clock := func() time.Time { return fixed }
	host := tokenbudget.NewHost(tokenbudget.New("host", hanging, staticViews{}.Locate, settings, clock, zap.NewNop()), time.Now)
	client := newClient(carried, view)
	assert.NilError(t, client.Reserve(context.Background(), newReservation("before")))
	for address := range carried.hosts {
		carried.hosts[address] = host
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	assert.NilError(t, host.Reserve(ctx, tokenbudget.Reservation{Program: "served", Name: "s", Limit: 10, Most: 1}))
	for i := range 2 {
		wanted := newReservation(fmt.Sprint("t", i))
		wanted.Program = fmt.Sprint("p", i)
		go func() { _ = host.Reserve(ctx, wanted) }()
	}
	harness.Eventually(t, func() (bool, string) { return hanging.asked.Load() == 2, "no draw is under way" })
	before := carried.reservationCount()
	assert.ErrorIs(t, client.Reserve(ctx, newReservation("t")), tokenbudget.ErrOverloaded)
	assert.Equal(t, carried.reservationCount(), before+1)
	fresh := newReservation("u")
	fresh.Program = "fresh"
	for range 5 {
		assert.ErrorIs(t, client.Reserve(ctx, fresh), tokenbudget.ErrOverloaded)
	}
	assert.Equal(t, carried.reservationCount(), before+6, "one host is asked for each")
	for range 5 {
		assert.ErrorIs(t, client.Reserve(ctx, newReservation("t")), tokenbudget.ErrOverloaded)
	}
	assert.Equal(t, carried.reservationCount(), before+11, "running programs are asked for")
}

// TestRunningProgramsHavePriority: a crowded host keeps programs away that begin,
// without a change of their records, whichever gateways they come through, and
// lets those go on that it or a gateway knows.
func TestRunningProgramsHavePriority(t *testing.T) {
	hanging := &hangingRegister{sharedRegister: newSharedRegister(), served: "known"}
	settings := tokenbudget.DefaultSettings()
	settings.IdleTime = time.Hour
	settings.Crowd = limit.AdaptivePolicy{Start: 2, Min: 2, Max: 2}
	host := tokenbudget.NewHost(tokenbudget.New("host", hanging, staticViews{}.Locate, settings, time.Now, zap.NewNop()), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reserve := func(program, turn string, isRunning bool) error {
		return host.Reserve(ctx, tokenbudget.Reservation{
			Program: program, Name: turn, Limit: 40, Most: 10, Lifetime: time.Minute, Running: isRunning,
		})
	}
	assert.NilError(t, reserve("known", "k0", false))
	for i := range 2 {
		go func() { _ = reserve(fmt.Sprint("p", i), fmt.Sprint("p", i), false) }()
	}
	harness.Eventually(t, func() (bool, string) { return hanging.asked.Load() == 2, "no draw is under way" })
	assert.ErrorIs(t, reserve("fresh", "f", false), tokenbudget.ErrOverloaded)
	assert.Equal(t, hanging.asked.Load(), int64(2), "nothing was asked for a program that may not begin")
	assert.NilError(t, reserve("known", "k1", false))
	assert.NilError(t, reserve("known", "k2", false))
	hanging.served = "told"
	assert.NilError(t, reserve("told", "t", true))
}

// TestIsolatedHostIsSkipped: a host that can change no record refuses at once
// after some time, and the next one decides.
func TestIsolatedHostIsSkipped(t *testing.T) {
	carried, view := newNetwork(newSharedRegister(), 3)
	client := newClient(carried, view)
	assert.NilError(t, client.Reserve(context.Background(), newReservation("t")))
	first := carried.asked[0]
	settings := tokenbudget.DefaultSettings()
	settings.Draws = limit.AdaptivePolicy{Start: 1, Min: 1, Max: 1}
	hanging := &hangingRegister{}
	carried.hosts[first] = tokenbudget.NewHost(tokenbudget.New("cut", hanging, staticViews{}.Locate, settings, time.Now, zap.NewNop()), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = carried.hosts[first].Reserve(ctx, newReservation("waits")) }()
	harness.Eventually(t, func() (bool, string) { return hanging.asked.Load() == 1, "no draw is under way" })
	assert.NilError(t, client.Reserve(ctx, newReservation("u")))
	assert.Equal(t, carried.reservationCount(), 3, "the host that is cut off and the next")
}

// TestSpentIsFinal: no other host is asked.
func TestSpentIsFinal(t *testing.T) {
	carried, view := newNetwork(newSharedRegister(), 3)
	client := newClient(carried, view)
	wanted := newReservation("t")
	wanted.Limit, wanted.Most = 50, 50
	assert.NilError(t, client.Reserve(context.Background(), wanted))
	client.End(tokenbudget.Ended{Program: "p", Reservation: "t", HandedOut: 50})
	client.Flush(context.Background())
	wanted.Name = "u"
	before := len(carried.asked)
	assert.ErrorIs(t, client.Reserve(context.Background(), wanted), budget.ErrSpent)
	assert.Equal(t, len(carried.asked), before+1)
}

// TestEndedTurnsAreSentWithoutReservation.
func TestEndedTurnsAreSentWithoutReservation(t *testing.T) {
	shared := newSharedRegister()
	carried, view := newNetwork(shared, 1)
	client := newClient(carried, view)
	wanted := newReservation("t")
	wanted.Limit = 100
	assert.NilError(t, client.Reserve(context.Background(), wanted))
	client.End(tokenbudget.Ended{Program: "p", Reservation: "t", HandedOut: 10})
	wanted.Name = "u"
	harness.Eventually(t, func() (bool, string) {
		// The host itself knows once that 90 are left.
		other := newClient(carried, view)
		return other.Reserve(context.Background(), wanted) == nil, "the first turn isn't ended"
	})
}

// TestUnendedTurnIsChargedItsMost once its time is over.
func TestUnendedTurnIsChargedItsMost(t *testing.T) {
	shared := newSharedRegister()
	now := time.Now()
	var mutex sync.Mutex
	host := tokenbudget.NewHost(newLedger("host", shared), func() time.Time {
		mutex.Lock()
		defer mutex.Unlock()
		return now
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = host.Serve(ctx) }()
	wanted := newReservation("t")
	wanted.Limit = 100
	assert.NilError(t, host.Reserve(ctx, wanted))
	assert.NilError(t, host.Reserve(ctx, wanted), "a repeated reservation is the same turn")
	mutex.Lock()
	now = now.Add(2 * time.Minute)
	mutex.Unlock()
	wanted.Name = "u"
	harness.Eventually(t, func() (bool, string) {
		err := host.Reserve(ctx, wanted)
		return err == budget.ErrSpent, fmt.Sprint(err)
	})
}
