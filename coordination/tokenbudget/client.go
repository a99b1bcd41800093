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
	// tryTimeout bounds one request to one host: a few times what a round of a
	// register takes, so that two hosts can be tried within a request's time for
	// state. Chosen, not measured.
	tryTimeout = 350 * time.Millisecond
	// endDelay is how long an ended turn waits for the next reservation at its
	// host, which carries it along and saves a request. Chosen, not measured.
	endDelay = 300 * time.Millisecond
	// endTries bounds the tries to tell a host of ended turns. The host charges
	// turns that it isn't told of with the most that they reserved. Chosen, not
	// measured.
	endTries = 5
	// lifetimeSlack is added to a turn's time, for clocks that differ in speed.
	// Chosen, not measured.
	lifetimeSlack = 5 * time.Second
)

// Client is a gateway's side: it reserves for turns at the hosts of their programs.
// It is safe for concurrent use.
type Client struct {
	hosts  Hosts
	views  Views
	reach  *reach.Tracker
	now    func() time.Time
	logger *zap.Logger

	mutex sync.Mutex
	// hostOf is the address of the host that granted each reservation under way.
	hostOf map[string]string
	// ended are, by address, the turns that their hosts weren't told of yet.
	ended map[string][]Ended
	// breakers are those of the shards that were asked.
	breakers map[uint32]*circuitBreaker
}

// NewClient makes a client without turns. The client tells the tracker which hosts
// answer.
func NewClient(hosts Hosts, views Views, tracker *reach.Tracker, now func() time.Time, logger *zap.Logger) *Client {
	return &Client{
		hosts: hosts, views: views, reach: tracker, now: now, logger: logger,
		hostOf: make(map[string]string), ended: make(map[string][]Ended),
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
	if !c.mayTry(shard) {
		return merry.Prependf(ErrUnavailable, "shard %d was out of reach a moment ago", shard)
	}
	wanted.Lifetime += lifetimeSlack
	return c.askHosts(ctx, shard, c.order(view, wanted.Program), wanted)
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
			c.note(shard, true)
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
	c.note(shard, reserved != nil)
	if reserved != nil {
		return reserved
	}
	return merry.Wrap(ErrUnavailable, merry.WithCause(last), merry.AppendMessagef("%v", last))
}

// attempt asks one host and notes how long that took.
func (c *Client) attempt(ctx context.Context, address string, wanted Reservation) attempt {
	began := c.now()
	err := c.try(ctx, address, wanted)
	return attempt{err: err, duration: c.now().Sub(began), callerGone: ctx.Err() != nil}
}

// mayTry asks the shard's breaker whether a reservation may ask its hosts.
func (c *Client) mayTry(shard uint32) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.breakers[shard]
	return known == nil || known.allow(c.now())
}

// note tells the shard's breaker whether a host decided.
func (c *Client) note(shard uint32, decided bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.breakers[shard]
	if known == nil {
		known = &circuitBreaker{}
		c.breakers[shard] = known
	}
	known.record(decided, c.now())
}

// try asks one host, and tells it of turns that have ended there.
func (c *Client) try(ctx context.Context, address string, wanted Reservation) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	along := c.takeEnded(address)
	err := c.hosts.Reserve(ctx, address, wanted, along)
	if err == nil {
		c.reach.Heard(address)
		c.mutex.Lock()
		c.hostOf[wanted.Name] = address
		c.mutex.Unlock()
		return nil
	}
	if IsRefusal(err) || errors.Is(err, ErrOverloaded) {
		c.reach.Heard(address)
		return err
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		c.reach.Failed(address)
	}
	c.logger.Info("budget host failed", zap.String("address", address), zap.String("program", wanted.Program),
		zap.String("reservation", wanted.Name), zap.Error(err))
	// The host may have reserved all the same, and may not have taken in the turns
	// that were told along: both are told again.
	c.tell(address, append(along, Ended{Program: wanted.Program, Reservation: wanted.Name}))
	return err
}

// order puts the members in the program's order, those that failed lately last.
func (c *Client) order(view register.View, program string) []string {
	members := slices.Clone(view.Members)
	slices.SortFunc(members, func(a, b register.Member) int {
		return cmp.Or(c.reach.Compare(a.Address, b.Address),
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
	address, found := c.hostOf[ended.Reservation]
	delete(c.hostOf, ended.Reservation)
	c.mutex.Unlock()
	if found {
		c.tell(address, []Ended{ended})
	}
}

// tell keeps ended turns for the next reservation at their host, or sends them alone
// after endDelay.
func (c *Client) tell(address string, ended []Ended) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting := len(c.ended[address]) > 0
	c.ended[address] = append(c.ended[address], ended...)
	if !waiting {
		time.AfterFunc(endDelay, func() { c.tellAlone(address) })
	}
}

// takeEnded returns and forgets the ended turns of the host at the address.
func (c *Client) takeEnded(address string) []Ended {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ended := c.ended[address]
	delete(c.ended, address)
	return ended
}

// tellAlone tells the host of ended turns that no reservation has carried along.
func (c *Client) tellAlone(address string) {
	ended := c.takeEnded(address)
	if len(ended) == 0 {
		return
	}
	for range endTries {
		ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
		err := c.hosts.End(ctx, address, ended)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(endDelay)
	}
	c.logger.Warn("budget host not told of ended turns", zap.String("address", address), zap.Int("turns", len(ended)))
}

// Flush tells all hosts of ended turns, until the context ends.
func (c *Client) Flush(ctx context.Context) {
	c.mutex.Lock()
	pending := c.ended
	c.ended = make(map[string][]Ended)
	c.mutex.Unlock()
	for address, ended := range pending {
		if err := c.hosts.End(ctx, address, ended); err != nil {
			c.logger.Warn("budget host not told of ended turns", zap.String("address", address), zap.Error(err))
		}
	}
}
