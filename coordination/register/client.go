package register

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Transport sends requests to the members. Its methods return when the context ends and
// may be called concurrently. A request that returned an error may still have taken
// effect.
type Transport interface {
	Prepare(ctx context.Context, member Member, request PrepareRequest) (PrepareReply, error)
	Accept(ctx context.Context, member Member, request AcceptRequest) (AcceptReply, error)
}

// Views provides the replica sets of the shards and the configuration version in force
// at this node. It is safe for concurrent use.
type Views interface {
	// View returns the newest known view of the shard.
	View(shard uint32) (View, bool)
	// Learn stores the view if it is newer than the known one.
	Learn(view View)
	// ConfigurationVersion is the version in force at this node.
	ConfigurationVersion() uint64
	// LearnConfiguration is called with a version that a member knows. It may fetch that
	// version before it returns.
	LearnConfiguration(ctx context.Context, version uint64)
}

// Clock provides the client's timers.
type Clock interface {
	// AfterFunc calls f once in its own goroutine after the delay, unless stop is called
	// before.
	AfterFunc(delay time.Duration, f func()) (stop func() bool)
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// AfterFunc implements Clock.
func (SystemClock) AfterFunc(delay time.Duration, f func()) (stop func() bool) {
	return time.AfterFunc(delay, f).Stop
}

// Settings configures a Client. DefaultSettings has usable values.
type Settings struct {
	// RequestTimeout limits one request to one member.
	RequestTimeout time.Duration
	// MaxAttempts limits the rounds that fail because too few members answered. Rounds lost
	// to a higher ballot, a newer epoch or a newer configuration don't count.
	MaxAttempts int
	// BackoffBase is the longest wait after the first failed round. It doubles with each
	// further one, up to BackoffLimit. The wait is uniform between zero and that value.
	BackoffBase  time.Duration
	BackoffLimit time.Duration
	// CachedRegisters limits the number of registers whose last value and promise are
	// cached, so that their next change takes one round trip.
	CachedRegisters int
	// MaxBatch limits the number of queued changes that share one round.
	MaxBatch int
	// FastRoundTimeout is the time in which all members must accept the first change of a
	// register without a prepare (Proposer.BeginFast); zero disables such fast rounds.
	// They suit registers that are numerous, mostly new, and changed by one node first.
	FastRoundTimeout time.Duration
	// ThriftyQuorum has rounds ask only a majority at first; nil asks all members at once.
	ThriftyQuorum *ThriftyQuorum
}

// DefaultSettings returns settings for members a few milliseconds apart.
func DefaultSettings() Settings {
	return Settings{
		RequestTimeout:  time.Second,
		MaxAttempts:     6,
		BackoffBase:     10 * time.Millisecond,
		BackoffLimit:    250 * time.Millisecond,
		CachedRegisters: 4096,
		MaxBatch:        64,
	}
}

// Client reads and changes registers. It is safe for concurrent use. Changes of one
// register through one client run in the order of their calls, and those that wait for
// a round share the next one.
type Client struct {
	incarnation string
	transport   Transport
	views       Views
	clock       Clock
	settings    Settings

	randomMutex sync.Mutex
	random      *rand.Rand

	mutex sync.Mutex
	// queues holds the calls that wait for a round. Each register with an entry has a
	// running worker.
	queues     map[registerID][]*call
	cache      *promiseCache
	fastRounds *fastRoundGate
}

// registerID identifies a register.
type registerID struct {
	shard uint32
	key   string
}

// NewClient returns a client that proposes under the given incarnation, which must differ
// from that of every other process. Random is used under a lock.
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
		fastRounds:  newFastRoundGate(settings, clock),
	}
}

// Read returns the register's value, nil before the first change. It reflects every
// change that was acknowledged before the call.
func (c *Client) Read(ctx context.Context, shard uint32, key string) ([]byte, error) {
	return c.Apply(ctx, shard, key, readChange)
}

func readChange(current []byte) ([]byte, error) { return current, nil }

// Apply changes the register and returns its value after the change. It returns:
//
//   - no error: the change is applied, and every later Apply or Read sees it;
//   - the change's own error: the register was not changed, and the value that the
//     change was called on was committed;
//   - ErrNoQuorum: the change was not applied and never will be;
//   - ErrUnknownOutcome: the change may have been applied, or may be later.
//
// If an accept was sent and its outcome is unknown, Apply retries at higher ballots to
// find out, until ctx ends or Settings.MaxAttempts rounds found no majority. The package
// comment says what this requires of the change. When ctx ends, Apply returns at once; a
// change that no request includes by then is never applied.
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

// enqueue appends the call and starts a worker if the register has none.
func (c *Client) enqueue(id registerID, queued *call) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting, active := c.queues[id]
	c.queues[id] = append(waiting, queued)
	if !active {
		go c.runWorker(id)
	}
}

// runWorker runs batches of the register's calls until the queue is empty.
func (c *Client) runWorker(id registerID) {
	for {
		calls := c.takeBatch(id)
		if len(calls) == 0 {
			return
		}
		c.runBatch(id, calls)
	}
}

// takeBatch removes the calls of the next batch from the queue, and the queue itself once
// it is empty.
func (c *Client) takeBatch(id registerID) []*call {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting := c.queues[id]
	if len(waiting) == 0 {
		delete(c.queues, id)
		return nil
	}
	size := min(len(waiting), max(c.settings.MaxBatch, 1))
	c.queues[id] = waiting[size:]
	return waiting[:size]
}

// backoff returns the wait before the next round, with full jitter (M. Brooker,
// "Exponential Backoff and Jitter", 2015).
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
