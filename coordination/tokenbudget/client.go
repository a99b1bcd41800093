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

// ErrUnavailable means that no host could reach the program's record.
var ErrUnavailable = errors.New("no host of the program's budget answers")

// ErrOverloaded means that the host has too many records to ask for already. It
// reserved nothing.
var ErrOverloaded = errors.New("the budget's host is overloaded")

// Hosts sends requests to the hosts. peer.Client is one. Reserve returns what
// the host answered, or an error that says nothing about what it did.
type Hosts interface {
	Reserve(ctx context.Context, address string, wanted Reservation, ended []Ended) error
	End(ctx context.Context, address string, ended []Ended) error
}

// Views gives the replica sets.
type Views interface {
	View(shard uint32) (register.View, bool)
	Locate(program string) uint32
}

const (
	// attemptTimeout bounds one request to one host: a few times what a round of a
	// register takes, so that two hosts can be tried within a request's time for
	// state. Chosen, not measured.
	attemptTimeout = 350 * time.Millisecond
	// endReportDelay is how long an ended turn waits for the next reservation at its
	// host, which carries it along and saves a request. Chosen, not measured.
	endReportDelay = 300 * time.Millisecond
	// maxEndReports bounds the tries to tell a host of ended turns. The host charges
	// turns that it isn't told of with the most that they reserved. Chosen, not
	// measured.
	maxEndReports = 5
	// lifetimeMargin is added to a turn's time, for clocks that differ in speed.
	// Chosen, not measured.
	lifetimeMargin = 5 * time.Second
)

// Client is a gateway's side: it reserves for turns at the hosts of their programs.
// It is safe for concurrent use.
type Client struct {
	hosts  Hosts
	views  Views
	tracker  *reach.Tracker
	now    func() time.Time
	logger *zap.Logger

	mutex sync.Mutex
	// grantedBy is the address of the host that granted each reservation under way.
	grantedBy map[string]string
	// pendingEnds are, by address, the turns that their hosts weren't told of yet.
	pendingEnds map[string][]Ended
	// breakers are those of the shards that were asked.
	breakers map[uint32]*circuitBreaker
}

// NewClient makes a client without turns. The client tells the tracker which hosts
// answer.
func NewClient(hosts Hosts, views Views, tracker *reach.Tracker, now func() time.Time, logger *zap.Logger) *Client {
	return &Client{
		hosts: hosts, views: views, tracker: tracker, now: now, logger: logger,
		grantedBy: make(map[string]string), pendingEnds: make(map[string][]Ended),
		breakers: make(map[uint32]*circuitBreaker),
	}
}

// Reserve asks the program's hosts one after the other until one decides, by the rule
// of next. It returns a refusal of the budget, ErrUnavailable or ErrOverloaded.
// After success, End must be called.
func (c *Client) Reserve(ctx context.Context, wanted Reservation) error {
	shard := c.views.Locate(wanted.Program)
	view, known := c.views.View(shard)
	if !known {
		return merry.Prepend(ErrUnavailable, "no replica set is known")
	}
	if !c.allowShard(shard) {
		return merry.Prependf(ErrUnavailable, "shard %d was out of reach a moment ago", shard)
	}
	wanted.Lifetime += lifetimeMargin
	return c.askHosts(ctx, shard, c.orderHosts(view, wanted.Program), wanted)
}

// askHosts asks the hosts at the addresses until one decides or the rule gives up. Where
// some say that others reserve the rest of the budget, and none grants the turn or knows
// it as spent, that is the answer.
func (c *Client) askHosts(ctx context.Context, shard uint32, addresses []string, wanted Reservation) error {
	var last, reserved error
	slow := 0
	for _, address := range addresses {
		ended := c.attempt(ctx, address, wanted)
		if ended.isSlow() {
			slow++
		}
		switch step := nextStep(ended, slow).(type) {
		case decided:
			c.recordOutcome(shard, true)
			return step.err
		case hostOverloaded:
			return cmp.Or(reserved, step.err)
		case tryReserveHolder:
			reserved = step.err
			continue
		case tryNextHost:
			last = ended.err
			continue
		case giveUp:
			last = ended.err
		}
		break
	}
	c.recordOutcome(shard, reserved != nil)
	if reserved != nil {
		return reserved
	}
	return merry.Wrap(ErrUnavailable, merry.WithCause(last), merry.AppendMessagef("%v", last))
}

// attempt asks one host and notes how long that took.
func (c *Client) attempt(ctx context.Context, address string, wanted Reservation) attempt {
	began := c.now()
	err := c.requestReservation(ctx, address, wanted)
	return attempt{err: err, duration: c.now().Sub(began), callerGone: ctx.Err() != nil}
}

// allowShard asks the shard's breaker whether a reservation may ask its hosts.
func (c *Client) allowShard(shard uint32) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.breakers[shard]
	return known == nil || known.allow(c.now())
}

// recordOutcome tells the shard's breaker whether a host decided.
func (c *Client) recordOutcome(shard uint32, decided bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.breakers[shard]
	if known == nil {
		known = &circuitBreaker{}
		c.breakers[shard] = known
	}
	known.record(decided, c.now())
}

// requestReservation asks one host, and tells it of turns that have ended there.
func (c *Client) requestReservation(ctx context.Context, address string, wanted Reservation) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	along := c.takePendingEnds(address)
	err := c.hosts.Reserve(ctx, address, wanted, along)
	if err == nil {
		c.tracker.Heard(address)
		c.mutex.Lock()
		c.grantedBy[wanted.Name] = address
		c.mutex.Unlock()
		return nil
	}
	if IsRefusal(err) || errors.Is(err, ErrOverloaded) {
		c.tracker.Heard(address)
		return err
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		c.tracker.Failed(address)
	}
	c.logger.Info("budget host failed", zap.String("address", address), zap.String("program", wanted.Program),
		zap.String("reservation", wanted.Name), zap.Error(err))
	// The host may have reserved all the same, and may not have taken in the turns
	// that were told along: both are told again.
	c.queueEnds(address, append(along, Ended{Program: wanted.Program, Reservation: wanted.Name}))
	return err
}

// orderHosts puts the members in the program's orderHosts, those that failed lately last.
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

// End tells the turn's host what it has handed out. It doesn't wait.
func (c *Client) End(ended Ended) {
	c.mutex.Lock()
	address, found := c.grantedBy[ended.Reservation]
	delete(c.grantedBy, ended.Reservation)
	c.mutex.Unlock()
	if found {
		c.queueEnds(address, []Ended{ended})
	}
}

// queueEnds keeps ended turns for the next reservation at their host, or sends them alone
// after endDelay.
func (c *Client) queueEnds(address string, ended []Ended) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting := len(c.pendingEnds[address]) > 0
	c.pendingEnds[address] = append(c.pendingEnds[address], ended...)
	if !waiting {
		time.AfterFunc(endReportDelay, func() { c.sendPendingEnds(address) })
	}
}

// takePendingEnds returns and forgets the ended turns of the host at the address.
func (c *Client) takePendingEnds(address string) []Ended {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ended := c.pendingEnds[address]
	delete(c.pendingEnds, address)
	return ended
}

// sendPendingEnds tells the host of ended turns that no reservation has carried along.
func (c *Client) sendPendingEnds(address string) {
	ended := c.takePendingEnds(address)
	if len(ended) == 0 {
		return
	}
	for range maxEndReports {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		err := c.hosts.End(ctx, address, ended)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(endReportDelay)
	}
	c.logger.Warn("budget host not told of ended turns", zap.String("address", address), zap.Int("turns", len(ended)))
}

// Flush tells all hosts of ended turns, until the context ends.
func (c *Client) Flush(ctx context.Context) {
	c.mutex.Lock()
	pending := c.pendingEnds
	c.pendingEnds = make(map[string][]Ended)
	c.mutex.Unlock()
	for address, ended := range pending {
		if err := c.hosts.End(ctx, address, ended); err != nil {
			c.logger.Warn("budget host not told of ended turns", zap.String("address", address), zap.Error(err))
		}
	}
}
