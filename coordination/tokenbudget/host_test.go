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

// network routes requests to hosts by their addresses.
type network struct {
	mutex sync.Mutex
	hosts map[string]*tokenbudget.Host
	// down hosts don't answer; lossy ones act but lose the answer.
	down, lossy map[string]bool
	asked       []string
	// reservations counts the calls of Reserve.
	reservations int
	// onAsk is called for each request.
	onAsk func(address string)
}

func (n *network) route(address string) (*tokenbudget.Host, bool, error) {
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

func (n *network) Reserve(ctx context.Context, address string, reservation tokenbudget.Reservation, ended []tokenbudget.EndedTurn) error {
	n.mutex.Lock()
	n.reservations++
	n.mutex.Unlock()
	host, lossy, err := n.route(address)
	if err != nil {
		return err
	}
	host.End(ended)
	err = host.Reserve(ctx, reservation)
	if lossy {
		return errAnswerLost
	}
	return err
}

func (n *network) End(_ context.Context, address string, ended []tokenbudget.EndedTurn) error {
	host, _, err := n.route(address)
	if err == nil {
		host.End(ended)
	}
	return err
}

// reservationCount returns how often any host was asked for a reservation.
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
	transport := &network{hosts: make(map[string]*tokenbudget.Host), down: make(map[string]bool), lossy: make(map[string]bool)}
	var views staticViews
	for index := range count {
		name := fmt.Sprint("host", index)
		transport.hosts[name] = tokenbudget.NewHost(newLedger(name, shared), time.Now)
		views.members = append(views.members, register.Member{Node: name, Address: name})
	}
	return transport, views
}

func newClient(transport *network, views staticViews) *tokenbudget.Client {
	return tokenbudget.NewClient(transport, views, reach.New(time.Now), time.Now, zap.NewNop())
}

func newReservation(id string) tokenbudget.Reservation {
	return tokenbudget.Reservation{Program: "p", Name: id, ProgramLimit: 1000, MaxTokens: 100, Lifetime: time.Minute}
}

// TestClientsAskTheSameHost: clients ask the same host for a program while it answers.
func TestClientsAskTheSameHost(t *testing.T) {
	transport, views := newNetwork(newSharedRegister(), 3)
	for index := range 4 {
		client := newClient(transport, views)
		assert.NilError(t, client.Reserve(context.Background(), newReservation(fmt.Sprint(index))))
	}
	for _, address := range transport.asked {
		assert.Equal(t, address, transport.asked[0])
	}
}

// TestFailoverToNextHost: if a host fails, the next one decides, and the reservation is ended
// at the failed one.
func TestFailoverToNextHost(t *testing.T) {
	for _, lossy := range []bool{false, true} {
		shared := newSharedRegister()
		transport, views := newNetwork(shared, 3)
		client := newClient(transport, views)
		assert.NilError(t, client.Reserve(context.Background(), newReservation("first")))
		primary := transport.asked[0]
		client.End(tokenbudget.EndedTurn{Program: "p", Reservation: "first", TokensUsed: 100})
		client.Flush(context.Background())
		transport.down[primary], transport.lossy[primary] = !lossy, lossy
		assert.NilError(t, client.Reserve(context.Background(), newReservation("second")))
		assert.Assert(t, transport.asked[len(transport.asked)-1] != primary)
		transport.down[primary], transport.lossy[primary] = false, false
		client.Flush(context.Background())
		assert.NilError(t, client.Reserve(context.Background(), newReservation("third")))
		assert.Assert(t, transport.asked[len(transport.asked)-1] != primary, "a host that failed is asked last for a while")
	}
}

func TestNoHostAnswers(t *testing.T) {
	transport, views := newNetwork(newSharedRegister(), 2)
	transport.down["host0"], transport.down["host1"] = true, true
	assert.ErrorIs(t, newClient(transport, views).Reserve(context.Background(), newReservation("t")), tokenbudget.ErrUnavailable)
	assert.ErrorIs(t, newClient(transport, staticViews{}).Reserve(context.Background(), newReservation("t")), tokenbudget.ErrUnavailable)
}

// TestBreakerRefusesUnreachableShard: the breaker of a shard whose hosts don't answer opens
// after some reservations, and closes once a host decides again.
func TestBreakerRefusesUnreachableShard(t *testing.T) {
	transport, views := newNetwork(newSharedRegister(), 2)
	transport.down["host0"], transport.down["host1"] = true, true
	now := time.Now()
	client := tokenbudget.NewClient(transport, views, reach.New(func() time.Time { return now }), func() time.Time { return now }, zap.NewNop())
	for i := range 10 {
		assert.ErrorIs(t, client.Reserve(context.Background(), newReservation(fmt.Sprint("t", i))), tokenbudget.ErrUnavailable)
	}
	assert.Equal(t, transport.reservationCount(), 6, "three attempts at two hosts")
	transport.down["host0"], transport.down["host1"] = false, false
	now = now.Add(time.Second)
	assert.NilError(t, client.Reserve(context.Background(), newReservation("t")))
	assert.NilError(t, client.Reserve(context.Background(), newReservation("u")))
}

// TestOpenBreakerAdmitsOneProbe: after the open time a single request probes the shard, and
// each failed probe extends the open time.
func TestOpenBreakerAdmitsOneProbe(t *testing.T) {
	transport, views := newNetwork(newSharedRegister(), 2)
	transport.down["host0"], transport.down["host1"] = true, true
	now := time.Now()
	client := tokenbudget.NewClient(transport, views, reach.New(func() time.Time { return now }), func() time.Time { return now }, zap.NewNop())
	ask := func(times int) int {
		before := transport.reservationCount()
		for i := range times {
			assert.ErrorIs(t, client.Reserve(context.Background(), newReservation(fmt.Sprint("t", i))), tokenbudget.ErrUnavailable)
		}
		return transport.reservationCount() - before
	}
	ask(3)
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		ask(50)
	}
	assert.Assert(t, transport.reservationCount() <= 2*(3+7), "%d requests to hosts in 6 s", transport.reservationCount())
	transport.down["host0"], transport.down["host1"] = false, false
	now = now.Add(2 * time.Second)
	assert.NilError(t, client.Reserve(context.Background(), newReservation("t")))
	assert.NilError(t, client.Reserve(context.Background(), newReservation("u")), "the breaker is closed")
}

// TestSlowAttemptsAreBounded: a reservation waits for few slow hosts, as hosts that are slow
// together are overloaded.
func TestSlowAttemptsAreBounded(t *testing.T) {
	transport, views := newNetwork(newSharedRegister(), 5)
	now := time.Now()
	transport.onAsk = func(string) { now = now.Add(350 * time.Millisecond) }
	for i := range 5 {
		transport.down[fmt.Sprint("host", i)] = true
	}
	client := tokenbudget.NewClient(transport, views, reach.New(func() time.Time { return now }), func() time.Time { return now }, zap.NewNop())
	assert.ErrorIs(t, client.Reserve(context.Background(), newReservation("t")), tokenbudget.ErrUnavailable)
	assert.Equal(t, transport.reservationCount(), 2)
	transport.onAsk = nil
	assert.ErrorIs(t, client.Reserve(context.Background(), newReservation("u")), tokenbudget.ErrUnavailable)
	assert.Equal(t, transport.reservationCount(), 7, "hosts that fail at once don't count as slow")
}

// hangingRegister answers for one program only; other changes wait until their caller gives up.
type hangingRegister struct {
	asked atomic.Int64
	// sharedRegister answers for the served program.
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

// TestOverloadedHostIsNotRetriedElsewhere guards against passing the requests of an overloaded
// host on to the others, which would overload them too.
func TestOverloadedHostIsNotRetriedElsewhere(t *testing.T) {
	transport, views := newNetwork(newSharedRegister(), 5)
	hanging := &hangingRegister{sharedRegister: newSharedRegister(), served: "served"}
	settings := tokenbudget.DefaultSettings()
	settings.AllChanges = limit.AdaptivePolicy{Start: 2, Min: 2, Max: 2}
	fixed := time.Now()
	clock := func() time.Time { return fixed }
	host := tokenbudget.NewHost(tokenbudget.NewLedger("host", hanging, staticViews{}.Locate, settings, clock, zap.NewNop()), time.Now)
	client := newClient(transport, views)
	assert.NilError(t, client.Reserve(context.Background(), newReservation("before")))
	for address := range transport.hosts {
		transport.hosts[address] = host
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	assert.NilError(t, host.Reserve(ctx, tokenbudget.Reservation{Program: "served", Name: "s", ProgramLimit: 10, MaxTokens: 1}))
	for i := range 2 {
		reservation := newReservation(fmt.Sprint("t", i))
		reservation.Program = fmt.Sprint("p", i)
		go func() { _ = host.Reserve(ctx, reservation) }()
	}
	harness.Eventually(t, func() (bool, string) { return hanging.asked.Load() == 2, "no request for a reserve is in progress" })
	before := transport.reservationCount()
	assert.ErrorIs(t, client.Reserve(ctx, newReservation("t")), tokenbudget.ErrOverloaded)
	assert.Equal(t, transport.reservationCount(), before+1)
	fresh := newReservation("u")
	fresh.Program = "fresh"
	for range 5 {
		assert.ErrorIs(t, client.Reserve(ctx, fresh), tokenbudget.ErrOverloaded)
	}
	assert.Equal(t, transport.reservationCount(), before+6, "each reservation asks one host")
	for range 5 {
		assert.ErrorIs(t, client.Reserve(ctx, newReservation("t")), tokenbudget.ErrOverloaded)
	}
	assert.Equal(t, transport.reservationCount(), before+11, "reservations of running programs ask one host too")
}

// TestRunningProgramsHavePriority: a loaded host refuses new programs without changing their
// records, and admits the turns of programs that it or the gateway knows to be running.
func TestRunningProgramsHavePriority(t *testing.T) {
	hanging := &hangingRegister{sharedRegister: newSharedRegister(), served: "known"}
	settings := tokenbudget.DefaultSettings()
	settings.IdleTimeout = time.Hour
	settings.LowPriorityChanges = limit.AdaptivePolicy{Start: 2, Min: 2, Max: 2}
	host := tokenbudget.NewHost(tokenbudget.NewLedger("host", hanging, staticViews{}.Locate, settings, time.Now, zap.NewNop()), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reserve := func(program, turn string, isRunning bool) error {
		return host.Reserve(ctx, tokenbudget.Reservation{
			Program: program, Name: turn, ProgramLimit: 40, MaxTokens: 10, Lifetime: time.Minute, ProgramRunning: isRunning,
		})
	}
	assert.NilError(t, reserve("known", "k0", false))
	for i := range 2 {
		go func() { _ = reserve(fmt.Sprint("p", i), fmt.Sprint("p", i), false) }()
	}
	harness.Eventually(t, func() (bool, string) { return hanging.asked.Load() == 2, "no request for a reserve is in progress" })
	assert.ErrorIs(t, reserve("fresh", "f", false), tokenbudget.ErrOverloaded)
	assert.Equal(t, hanging.asked.Load(), int64(2), "a refused program doesn't reach the register")
	assert.NilError(t, reserve("known", "k1", false))
	assert.NilError(t, reserve("known", "k2", false))
	hanging.served = "told"
	assert.NilError(t, reserve("told", "t", true))
}

// TestIsolatedHostIsSkipped: a host that can't change any record refuses at once after some
// time, and the next host decides.
func TestIsolatedHostIsSkipped(t *testing.T) {
	transport, views := newNetwork(newSharedRegister(), 3)
	client := newClient(transport, views)
	assert.NilError(t, client.Reserve(context.Background(), newReservation("t")))
	first := transport.asked[0]
	settings := tokenbudget.DefaultSettings()
	settings.AllChanges = limit.AdaptivePolicy{Start: 1, Min: 1, Max: 1}
	hanging := &hangingRegister{}
	transport.hosts[first] = tokenbudget.NewHost(tokenbudget.NewLedger("isolated", hanging, staticViews{}.Locate, settings, time.Now, zap.NewNop()), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = transport.hosts[first].Reserve(ctx, newReservation("waits")) }()
	harness.Eventually(t, func() (bool, string) { return hanging.asked.Load() == 1, "no request for a reserve is in progress" })
	assert.NilError(t, client.Reserve(ctx, newReservation("u")))
	assert.Equal(t, transport.reservationCount(), 3, "the isolated host and the next one")
}

// TestSpentIsFinal: if the budget is spent, no other host is asked.
func TestSpentIsFinal(t *testing.T) {
	transport, views := newNetwork(newSharedRegister(), 3)
	client := newClient(transport, views)
	reservation := newReservation("t")
	reservation.ProgramLimit, reservation.MaxTokens = 50, 50
	assert.NilError(t, client.Reserve(context.Background(), reservation))
	client.End(tokenbudget.EndedTurn{Program: "p", Reservation: "t", TokensUsed: 50})
	client.Flush(context.Background())
	reservation.Name = "u"
	before := len(transport.asked)
	assert.ErrorIs(t, client.Reserve(context.Background(), reservation), budget.ErrExhausted)
	assert.Equal(t, len(transport.asked), before+1)
}

// TestEndedTurnsAreSentWithoutReservation: ended turns are reported even if no reservation
// follows that could carry them.
func TestEndedTurnsAreSentWithoutReservation(t *testing.T) {
	shared := newSharedRegister()
	transport, views := newNetwork(shared, 1)
	client := newClient(transport, views)
	reservation := newReservation("t")
	reservation.ProgramLimit = 100
	assert.NilError(t, client.Reserve(context.Background(), reservation))
	client.End(tokenbudget.EndedTurn{Program: "p", Reservation: "t", TokensUsed: 10})
	reservation.Name = "u"
	harness.Eventually(t, func() (bool, string) {
		// The end has arrived once the host grants the 90 tokens that are left.
		other := newClient(transport, views)
		return other.Reserve(context.Background(), reservation) == nil, "the first turn isn't ended"
	})
}

// TestUnendedTurnIsChargedItsMaximum: a turn that isn't ended is charged with all the tokens
// that it reserved once its lifetime is over.
func TestUnendedTurnIsChargedItsMaximum(t *testing.T) {
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
	reservation := newReservation("t")
	reservation.ProgramLimit = 100
	assert.NilError(t, host.Reserve(ctx, reservation))
	assert.NilError(t, host.Reserve(ctx, reservation), "a repeated reservation is the same turn")
	mutex.Lock()
	now = now.Add(2 * time.Minute)
	mutex.Unlock()
	reservation.Name = "u"
	harness.Eventually(t, func() (bool, string) {
		err := host.Reserve(ctx, reservation)
		return err == budget.ErrExhausted, fmt.Sprint(err)
	})
}
