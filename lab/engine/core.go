package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of CoreOptions.
const (
	DefaultMaxWaiting      = 256
	DefaultLoadLag         = time.Second
	DefaultCacheEventDelay = 500 * time.Millisecond
)

// CoreOptions describe one engine. Instants are durations since its start.
type CoreOptions struct {
	Generation Generation
	Models     []Loaded
	Adapters   []Loaded
	// MaxWaiting limits the queue; zero is DefaultMaxWaiting.
	MaxWaiting int
	// LoadLag is how old the reported load may be; zero is DefaultLoadLag.
	LoadLag time.Duration
	// CacheEventDelay is how late cache events are published; zero is
	// DefaultCacheEventDelay.
	CacheEventDelay time.Duration
	// CacheEventLoss is the share of cache events that never are, from 0 to 1.
	CacheEventLoss float64
	// Seed decides which cache events are lost.
	Seed uint64
	// LoadDuration gives how long a load takes that starts now. Where it is
	// nil, the driver calls FinishLoad after an event of kind LoadStarted.
	LoadDuration func(now time.Duration, wanted Loaded) time.Duration
}

// Request is one completion as the core sees it.
type Request struct {
	// ID is the driver's; it must not be that of a request under way.
	ID      uint64
	Program string
	Model   string
	Adapter string
	// Path is the prompt, from the start of the context on. The core keeps the
	// slice until the request has ended.
	Path []Segment
	// OutputID stands for the answer's content: the next turn's path continues
	// with Segment{OutputID, OutputTokens}.
	OutputID     uint64
	OutputTokens int
	// Priority is served in ascending order.
	Priority uint32
	// Hold keeps the context of Program after the answer.
	Hold bool
}

// Core is an engine without I/O, goroutines or a clock of its own. It isn't
// safe for concurrent use.
type Core struct {
	options CoreOptions
	profile Generation
	cache   *prefixCache
	holds   map[string]*heldContext
	events  cacheEvents

	jobs      map[uint64]*job
	sequence  uint64
	waiting   jobQueue
	prefills  jobQueue
	decodes   jobQueue
	transfers jobQueue

	now time.Duration
	// decoded counts the tokens that a sequence would have produced, had it
	// been decoding all the time: every sequence decodes at the same rate.
	decoded     float64
	decodeRate  float64
	prefillRate float64
	slowdown    float64

	models   []Loaded
	adapters []Loaded
	loads    []load
	fence    uint64
	role     Role
	leaving  bool

	meter meter
	// pending are the events that Advance has yet to return; returned is the
	// slice it returned last, to be used again.
	pending  []Event
	returned []Event
}

// NewCore returns an idle engine at instant zero.
func NewCore(options CoreOptions) *Core {
	if options.MaxWaiting == 0 {
		options.MaxWaiting = DefaultMaxWaiting
	}
	if options.LoadLag == 0 {
		options.LoadLag = DefaultLoadLag
	}
	if options.CacheEventDelay == 0 {
		options.CacheEventDelay = DefaultCacheEventDelay
	}
	c := &Core{
		options:   options,
		cache:     newPrefixCache(options.Generation.MemoryTokens),
		holds:     make(map[string]*heldContext),
		jobs:      make(map[uint64]*job),
		waiting:   jobQueue{less: byPriority},
		prefills:  jobQueue{less: byPriority},
		decodes:   jobQueue{less: byRank},
		transfers: jobQueue{less: byRank},
		slowdown:  1,
		models:    append([]Loaded(nil), options.Models...),
		adapters:  append([]Loaded(nil), options.Adapters...),
	}
	c.events = cacheEvents{delay: options.CacheEventDelay, loss: options.CacheEventLoss, seed: options.Seed}
	c.cache.evicted = func(n *node) { c.events.add(c.now, CacheEvicted, n.program, n.keptEnd()) }
	c.cache.dropped = func(context *heldContext) { delete(c.holds, context.program) }
	c.setRole(RoleMixed)
	c.meter.start(c)
	return c
}

// Submit takes a request or returns a *Refusal. Each request that was taken
// ends in exactly one event of kind Finished.
func (c *Core) Submit(now time.Duration, request Request) error {
	c.run(now)
	root, refused := c.rootOf(request.Model, request.Adapter)
	if refused != nil {
		return refused
	}
	promptTokens := 0
	for _, segment := range request.Path {
		if segment.Tokens < 0 {
			return &Refusal{Reason: Invalid}
		}
		promptTokens += segment.Tokens
	}
	request.OutputTokens = max(1, request.OutputTokens)
	switch {
	case c.jobs[request.ID] != nil:
		return &Refusal{Reason: InUse}
	case c.leaving:
		return &Refusal{Reason: IsLeaving, RetryAfter: leavingRetry}
	case promptTokens == 0:
		return &Refusal{Reason: Invalid}
	case promptTokens+request.OutputTokens > c.cache.limit*BlockTokens:
		return &Refusal{Reason: TooLarge}
	case c.waiting.Len() >= c.options.MaxWaiting:
		return &Refusal{Reason: IsFull, RetryAfter: c.drainTime()}
	}
	c.sequence++
	added := &job{
		Request:      request,
		root:         root,
		rootKey:      root.key(),
		sequence:     c.sequence,
		promptTokens: promptTokens,
	}
	c.jobs[request.ID] = added
	c.waiting.add(added)
	c.schedule()
	return nil
}

// Cancel ends a request and reports whether it was under way. An import can't
// be cancelled.
func (c *Core) Cancel(now time.Duration, id uint64) bool {
	c.run(now)
	found := c.jobs[id]
	if found == nil || found.stage == importing {
		return false
	}
	output := c.produced(found)
	c.queueOf(found).remove(found)
	c.end(found, Cancelled, output)
	c.schedule()
	return true
}

// Produced returns how many tokens of the answer exist, and false where no such
// request is under way.
func (c *Core) Produced(now time.Duration, id uint64) (int, bool) {
	c.run(now)
	found := c.jobs[id]
	if found == nil {
		return 0, false
	}
	return c.produced(found), true
}

// NextEvent returns when Advance will next have something to do.
func (c *Core) NextEvent() (time.Duration, bool) {
	if len(c.pending) > 0 {
		return c.now, true
	}
	return c.due()
}

// Advance moves the engine to an instant and returns what happened up to then
// and wasn't returned yet, in order. The slice is valid until the next Advance.
func (c *Core) Advance(now time.Duration) []Event {
	c.run(now)
	happened := c.pending
	c.pending = c.returned[:0]
	c.returned = happened
	return happened
}

// SetSlowdown divides the engine's speed by a factor of at least 1.
func (c *Core) SetSlowdown(now time.Duration, factor float64) {
	c.run(now)
	c.slowdown = max(1, factor)
	c.schedule()
}

// rootName is what a whole context depends on besides its tokens.
type rootName struct {
	model, adapter Loaded
}

func (r rootName) key() uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.model.Name, r.model.Version, r.adapter.Name, r.adapter.Version} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// rootOf finds what a request needs loaded.
func (c *Core) rootOf(model, adapter string) (rootName, *Refusal) {
	found, ok := find(c.models, model)
	if !ok {
		return rootName{}, &Refusal{Reason: NotLoaded}
	}
	if adapter == "" {
		return rootName{model: found}, nil
	}
	extra, ok := find(c.adapters, adapter)
	if !ok {
		return rootName{}, &Refusal{Reason: NotLoaded}
	}
	return rootName{model: found, adapter: extra}, nil
}
