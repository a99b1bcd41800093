package register

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Transport carries requests to the members. Its methods return when the
// context ends, and they may be called concurrently. An error says nothing
// about whether the request had its effect.
type Transport interface {
	Prepare(ctx context.Context, member Member, request PrepareRequest) (PrepareReply, error)
	Accept(ctx context.Context, member Member, request AcceptRequest) (AcceptReply, error)
}

// Views knows the replica sets of the shards and the configuration version in
// force at this node. It is safe for concurrent use.
type Views interface {
	// View returns the newest known view of the shard.
	View(shard uint32) (View, bool)
	// Learn keeps the view if it is newer than the known one.
	Learn(view View)
	// ConfigurationVersion is the version in force at this node.
	ConfigurationVersion() uint64
	// LearnConfiguration is told that a member knows the given version, and
	// may fetch it before it returns.
	LearnConfiguration(ctx context.Context, version uint64)
}

// Clock gives the client its timers.
type Clock interface {
	// AfterFunc calls f once in a goroutine of its own after the delay, unless
	// stop is called before.
	AfterFunc(delay time.Duration, f func()) (stop func() bool)
}

// SystemClock is the Clock of the running process.
type SystemClock struct{}

// AfterFunc implements Clock.
func (SystemClock) AfterFunc(delay time.Duration, f func()) (stop func() bool) {
	return time.AfterFunc(delay, f).Stop
}

// Settings limits a Client. DefaultSettings has usable values.
type Settings struct {
	// RequestTimeout limits one request to one member.
	RequestTimeout time.Duration
	// Attempts limits the rounds that fail for lack of answers before the
	// change is given up. Rounds lost to a higher ballot, an epoch or a
	// configuration don't count.
	Attempts int
	// BackoffBase is the longest wait after the first failed round; it doubles
	// up to BackoffLimit. The wait is uniform between zero and that value.
	BackoffBase  time.Duration
	BackoffLimit time.Duration
	// CachedRegisters limits the registers whose last value and promise are
	// kept for the path of one round trip.
	CachedRegisters int
	// Batch limits the queued changes that share one round.
	Batch int
	// FreshPatience is how long all members have to accept the first change of a
	// register without a prepare (Proposer.BeginFresh); zero for never. It suits
	// registers that are many, mostly new, and changed by one node first.
	FreshPatience time.Duration
	// Thrift has rounds ask a majority first; nil for all members at once.
	Thrift *Thrift
}

// DefaultSettings returns settings for members a few milliseconds apart. The values were
// chosen, not measured.
func DefaultSettings() Settings {
	return Settings{
		RequestTimeout:  time.Second,
		Attempts:        6,
		BackoffBase:     10 * time.Millisecond,
		BackoffLimit:    250 * time.Millisecond,
		CachedRegisters: 4096,
		Batch:           64,
	}
}

// Client reads and changes registers. It is safe for concurrent use. Changes of
// one register through one client run in the order of their calls, and those
// that wait for a round share the next one.
type Client struct {
	incarnation string
	transport   Transport
	views       Views
	clock       Clock
	settings    Settings

	randomMutex sync.Mutex
	random      *rand.Rand

	mutex sync.Mutex
	// queues holds the calls that wait for a round. A register with an entry has a
	// worker.
	queues map[registerID][]*call
	cache  *promiseCache
	fastRounds  *fastRoundGate
}

// registerID names a register.
type registerID struct {
	shard uint32
	key   string
}

// NewClient returns a client that proposes as the given incarnation, which must
// differ from that of every other process. Random is used under a lock.
func NewClient(incarnation string, transport Transport, views Views, clock Clock, random *rand.Rand, settings Settings) *Client {
	return &Client{
		incarnation: incarnation,
		transport:   transport,
		views:       views,
		clock:       clock,
		settings:    settings,
		random:      random,
		queues:      make(map[registerID][]*call),
		cache:       newPromiseCache(settings.CachedRegisters),
		fastRounds:       newFastRoundGate(settings, clock),
	}
}

// Read returns the register's value, nil before the first change. It reflects
// every change that had been acknowledged before it was called.
func (c *Client) Read(ctx context.Context, shard uint32, key string) ([]byte, error) {
	return c.Apply(ctx, shard, key, readChange)
}

func readChange(current []byte) ([]byte, error) { return current, nil }

// Apply changes the register and returns its value after the change. It returns:
//
//   - no error: the change is applied, and every later Apply or Read sees it;
//   - the change's own error: the register was not changed, and the value on
//     which the change decided is the register's, never an uncommitted one;
//   - ErrNoQuorum: the change is certainly not applied and never will be;
//   - ErrUnknownOutcome: the change may have been applied, or may be later.
//
// Where an accept was sent without an answer, Apply goes on at higher ballots to
// find out, until ctx ends or Settings.Attempts rounds found no majority. See the
// package comment for what that asks of the change. When ctx ends, Apply returns
// at once; a change that no request includes by then is withdrawn for good.
func (c *Client) Apply(ctx context.Context, shard uint32, key string, change Change) ([]byte, error) {
	queued := newCall(change)
	if ctx.Err() != nil {
		return queued.abandon(context.Cause(ctx))
	}
	c.enqueue(registerID{shard: shard, key: key}, queued)
	select {
	case <-queued.done:
		return queued.value, queued.err
	case <-ctx.Done():
		return queued.abandon(context.Cause(ctx))
	}
}

// enqueue appends the call; the first one of an idle register starts a worker.
func (c *Client) enqueue(id registerID, queued *call) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting, active := c.queues[id]
	c.queues[id] = append(waiting, queued)
	if !active {
		go c.runWorker(id)
	}
}

// runWorker runs batches of the register's calls until none waits.
func (c *Client) runWorker(id registerID) {
	for {
		calls := c.takeBatch(id)
		if len(calls) == 0 {
			return
		}
		c.runBatch(id, calls)
	}
}

// takeBatch removes the calls of the next batch from the queue, and the queue
// itself when it is empty.
func (c *Client) takeBatch(id registerID) []*call {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting := c.queues[id]
	if len(waiting) == 0 {
		delete(c.queues, id)
		return nil
	}
	size := min(len(waiting), max(c.settings.Batch, 1))
	c.queues[id] = waiting[size:]
	return waiting[:size]
}

// backoff returns the jittered wait before the next round ("full jitter": M.
// Brooker, "Exponential Backoff and Jitter", 2015).
func (c *Client) backoff(failures int) time.Duration {
	limit := c.settings.BackoffLimit
	if shift := failures - 1; shift < 16 {
		limit = min(limit, c.settings.BackoffBase<<shift)
	}
	if limit <= 0 {
		return 0
	}
	c.randomMutex.Lock()
	defer c.randomMutex.Unlock()
	return time.Duration(c.random.Int64N(int64(limit)))
}
