package tokenbudget

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
)

// ErrUnavailable means that no host decided the reservation.
var ErrUnavailable = errors.New("no host of the program's budget answered")

// ErrOverloaded means that the host already changes as many records as it can. It
// reserved nothing.
var ErrOverloaded = errors.New("the budget host is overloaded")

// HostClient sends requests to hosts; peer.BudgetClient implements it. Reserve returns the
// host's decision, or an error after which it is unknown whether the host reserved
// anything.
type HostClient interface {
	Reserve(ctx context.Context, address string, reservation Reservation, ended []EndedTurn) error
	End(ctx context.Context, address string, ended []EndedTurn) error
}

// Views provides the replica sets of shards and the shard of each program.
type Views interface {
	View(shard uint32) (register.View, bool)
	Locate(program string) uint32
}

const (
	// attemptTimeout bounds one request to one host. It is a few times the duration of a
	// change of a register, and short enough to try two hosts for one reservation.
	attemptTimeout = 350 * time.Millisecond
	// lifetimeMargin is added to the lifetime of a turn, for clocks that differ in speed.
	lifetimeMargin = 5 * time.Second
)

// Client reserves tokens for a gateway's turns at the hosts of their programs. It is safe
// for concurrent use.
type Client struct {
	hosts   HostClient
	views   Views
	tracker *reach.Tracker
	ends    *endReporter
	now     func() time.Time
	logger  *zap.Logger

	mutex sync.Mutex
	// granted holds the reservations in progress by their names.
	granted map[string]grant
	// breakers holds the circuit breakers by shard.
	breakers map[uint32]*circuitBreaker
}

// grant is a reservation in progress.
type grant struct {
	// address is that of the host that granted it.
	address string
	// until is when the lifetime of the turn is over.
	until time.Time
}

// NewClient returns a client without reservations. It records in the tracker which hosts
// answer.
func NewClient(hosts HostClient, views Views, tracker *reach.Tracker, now func() time.Time, logger *zap.Logger) *Client {
	return &Client{
		hosts: hosts, views: views, tracker: tracker, ends: newEndReporter(hosts, now, logger), now: now, logger: logger,
		granted: make(map[string]grant), breakers: make(map[uint32]*circuitBreaker),
	}
}

// Reserve asks the program's hosts one after the other until one decides, by the rules of
// nextStep. It returns a refusal of the budget, ErrUnavailable or ErrOverloaded. After
// success, End must be called.
func (c *Client) Reserve(ctx context.Context, reservation Reservation) error {
	shard := c.views.Locate(reservation.Program)
	view, known := c.views.View(shard)
	if !known {
		return merry.Prependf(ErrUnavailable, "no replica set is known for shard %d", shard)
	}
	if !c.allowShard(shard) {
		return merry.Prependf(ErrUnavailable, "the circuit breaker of shard %d is open", shard)
	}
	reservation.Lifetime += lifetimeMargin
	return c.askHosts(ctx, shard, c.orderHosts(view, reservation.Program), reservation)
}

// askHosts asks the hosts until one decides or nextStep gives up. If a host refused the
// turn with budget.ErrReserved and no later one grants it or reports the budget as spent,
// that refusal is the result.
func (c *Client) askHosts(ctx context.Context, shard uint32, addresses []string, reservation Reservation) error {
	var lastErr, reservedErr error
	slow := 0
	for _, address := range addresses {
		current := c.attempt(ctx, address, reservation)
		if current.isSlow() {
			slow++
		}
		switch step := nextStep(current, slow).(type) {
		case finish:
			c.recordOutcome(shard, true)
			return step.err
		case hostOverloaded:
			return cmp.Or(reservedErr, step.err)
		case tryReserveHolder:
			reservedErr = step.err
			continue
		case tryNextHost:
			lastErr = current.err
			continue
		case giveUp:
			lastErr = current.err
		}
		break
	}
	c.recordOutcome(shard, reservedErr != nil)
	if reservedErr != nil {
		return reservedErr
	}
	return merry.Wrap(ErrUnavailable, merry.WithCause(lastErr), merry.AppendMessagef("%v", lastErr))
}

// attempt asks one host and measures how long that took.
func (c *Client) attempt(ctx context.Context, address string, reservation Reservation) attempt {
	began := c.now()
	err := c.requestReservation(ctx, address, reservation)
	return attempt{err: err, duration: c.now().Sub(began), callerGone: ctx.Err() != nil}
}

// allowShard reports whether the shard's circuit breaker admits a reservation.
func (c *Client) allowShard(shard uint32) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	breaker := c.breakers[shard]
	return breaker == nil || breaker.allow(c.now())
}

// recordOutcome records in the shard's circuit breaker whether a host decided.
func (c *Client) recordOutcome(shard uint32, decided bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	breaker := c.breakers[shard]
	if breaker == nil {
		breaker = &circuitBreaker{}
		c.breakers[shard] = breaker
	}
	breaker.record(decided, c.now())
}

// requestReservation asks one host. The request also reports the turns that have ended
// there.
func (c *Client) requestReservation(ctx context.Context, address string, reservation Reservation) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	reported := c.ends.take(address)
	err := c.hosts.Reserve(ctx, address, reservation, turnsOf(reported))
	if err == nil {
		c.tracker.RecordResponse(address)
		c.mutex.Lock()
		c.granted[reservation.Name] = grant{address: address, until: c.now().Add(reservation.Lifetime)}
		c.mutex.Unlock()
		c.ends.finish(address)
		return nil
	}
	if IsRefusal(err) || errors.Is(err, ErrOverloaded) {
		c.tracker.RecordResponse(address)
		c.ends.finish(address)
		return err
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		c.tracker.RecordFailure(address)
	}
	c.logger.Info("budget host failed", zap.String("address", address), zap.String("program", reservation.Program),
		zap.String("reservation", reservation.Name), zap.Error(err))
	// The host may have reserved the tokens without having recorded the ended turns, so
	// both are reported again.
	unknown := EndedTurn{Program: reservation.Program, Reservation: reservation.Name}
	c.ends.finish(address, append(reported, endReport{turn: unknown, until: c.now().Add(reservation.Lifetime)})...)
	return err
}

// orderHosts returns the addresses of the members by their rank for the program; those
// that failed lately come last.
func (c *Client) orderHosts(view register.View, program string) []string {
	members := slices.Clone(view.Members)
	slices.SortFunc(members, func(a, b register.Member) int {
		return cmp.Or(c.tracker.Compare(a.Address, b.Address),
			cmp.Compare(register.Rank(b.Node, program), register.Rank(a.Node, program)))
	})
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// End reports to the turn's host how many tokens the turn handed out. It doesn't wait for
// the host.
func (c *Client) End(ended EndedTurn) {
	c.mutex.Lock()
	granted, found := c.granted[ended.Reservation]
	delete(c.granted, ended.Reservation)
	c.mutex.Unlock()
	if found {
		c.ends.add(granted.address, endReport{turn: ended, until: granted.until})
	}
}

// Flush reports all pending ended turns until the context ends. It asks the hosts
// concurrently, so that one that doesn't answer takes no time from the others.
func (c *Client) Flush(ctx context.Context) { c.ends.flush(ctx) }
