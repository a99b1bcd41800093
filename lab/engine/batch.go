package engine

import (
	"math"
	"time"
)

const (
	// tokenEpsilon absorbs rounding: an instant is a whole number of
	// nanoseconds.
	tokenEpsilon = 1e-6
	// longest is how far ahead an event may lie, in nanoseconds; an engine that
	// was slowed down beyond measure stays within a Duration.
	longest = float64(100 * 365 * 24 * time.Hour)
)

// run processes everything that is due up to an instant. Instants in the past
// count as the present.
func (c *Core) run(now time.Duration) {
	for {
		at, any := c.due()
		if !any || at > now {
			break
		}
		c.settle(at)
		c.finishPrefills()
		c.finishDecodes()
		c.finishTransfers()
		c.finishLoads()
		c.schedule()
	}
	c.settle(now)
}

// due returns when something will next change by itself.
func (c *Core) due() (time.Duration, bool) {
	next := time.Duration(math.MaxInt64)
	if head := c.prefills.head(); head != nil {
		next = min(next, c.after(head.remaining, c.prefillRate))
	}
	if head := c.decodes.head(); head != nil {
		next = min(next, c.after(head.rank-c.decoded, c.decodeRate))
	}
	if head := c.transfers.head(); head != nil {
		next = min(next, time.Duration(head.rank))
	}
	for _, load := range c.loads {
		next = min(next, load.due)
	}
	return next, next < math.MaxInt64
}

// after returns the instant at which tokens will have been processed.
func (c *Core) after(tokens, rate float64) time.Duration {
	if tokens <= tokenEpsilon {
		return c.now
	}
	length := math.Ceil(tokens / rate * float64(time.Second))
	return c.now + time.Duration(min(length, longest))
}

// settle accounts for the work done up to an instant at which nothing else is
// due before, and samples the load on the way.
func (c *Core) settle(now time.Duration) {
	if at, due := c.meter.due(now, c.options.LoadLag); due {
		c.work(at)
		c.meter.sample(c)
	}
	c.work(now)
}

// work moves prefill and decode on to an instant at their current rates.
func (c *Core) work(now time.Duration) {
	if now <= c.now {
		return
	}
	seconds := (now - c.now).Seconds()
	c.now = now
	if head := c.prefills.head(); head != nil {
		done := min(head.remaining, seconds*c.prefillRate)
		head.remaining -= done
		c.meter.prefill(done, seconds)
	}
	if c.decodes.Len() > 0 {
		c.decoded += seconds * c.decodeRate
		c.meter.decode(seconds*c.decodeRate, seconds)
	}
}

// schedule admits what fits and sets the rates of the new batch.
func (c *Core) schedule() {
	for c.admitNext() {
	}
	batch := c.decodes.Len()
	if batch == 0 {
		c.decoded = 0
	}
	c.decodeRate, c.prefillRate = c.profile.rates(batch, c.prefills.Len() > 0)
	c.decodeRate /= c.slowdown
	c.prefillRate /= c.slowdown
}

// admitNext moves the first waiting request into the batch. One that doesn't
// fit yet isn't overtaken: else large requests would starve.
func (c *Core) admitNext() bool {
	head := c.waiting.head()
	if head == nil || c.prefills.Len()+c.decodes.Len() >= c.profile.MaxBatch {
		return false
	}
	memory, cached, ok := c.cache.acquire(head.rootKey, head.Path, head.promptTokens, head.promptTokens+head.OutputTokens)
	if !ok {
		return false
	}
	c.waiting.remove(head)
	head.memory = memory
	head.cachedTokens = cached
	head.remaining = float64(head.promptTokens - cached)
	head.stage = prefilling
	c.prefills.add(head)
	return true
}

// finishPrefills starts the decode of a prompt that is computed, and shares the
// prompt's blocks.
func (c *Core) finishPrefills() {
	head := c.prefills.head()
	if head == nil || head.remaining > tokenEpsilon {
		return
	}
	c.prefills.remove(head)
	c.cache.commit(&head.memory, head.rootKey, head.Path, head.Program)
	c.emit(Event{Kind: FirstToken, ID: head.ID, Program: head.Program, Usage: c.usage(head, 1)})
	head.stage = decoding
	head.rank = c.decoded + float64(head.OutputTokens-1)
	c.decodes.add(head)
}

func (c *Core) finishDecodes() {
	for {
		head := c.decodes.head()
		if head == nil || head.rank-c.decoded > tokenEpsilon {
			return
		}
		c.decodes.remove(head)
		c.complete(head)
	}
}

// complete keeps the context of a finished request and ends it.
func (c *Core) complete(done *job) {
	output := Segment{ID: done.OutputID, Tokens: done.OutputTokens}
	path := append(done.Path[:len(done.Path):len(done.Path)], output)
	c.cache.commit(&done.memory, done.rootKey, path, done.Program)
	c.keep(done)
	c.end(done, Completed, done.OutputTokens)
}

// keep holds the context of a job where that was asked, and announces it.
func (c *Core) keep(done *job) {
	if done.memory.node == nil || done.memory.node.keptEnd() == 0 {
		return
	}
	if done.Hold {
		c.hold(done.Program, done.root, done.memory.node)
	}
	c.events.add(c.now, CacheStored, done.Program, done.memory.node.keptEnd())
}

// end forgets a request, which is in no queue any more.
func (c *Core) end(done *job, outcome Outcome, output int) {
	c.cache.giveBack(done.memory)
	delete(c.jobs, done.ID)
	c.emit(Event{Kind: Finished, ID: done.ID, Program: done.Program, Outcome: outcome, Usage: c.usage(done, output)})
}

func (c *Core) emit(event Event) {
	event.At = c.now
	c.pending = append(c.pending, event)
}

func (c *Core) usage(j *job, output int) Usage {
	return Usage{PromptTokens: j.promptTokens, CachedTokens: j.cachedTokens, OutputTokens: output}
}

func (c *Core) produced(j *job) int {
	if j.stage != decoding {
		return 0
	}
	left := math.Ceil(j.rank - c.decoded - tokenEpsilon)
	return j.OutputTokens - int(max(0, left))
}

func (c *Core) queueOf(j *job) *jobQueue {
	switch j.stage {
	case prefilling:
		return &c.prefills
	case decoding:
		return &c.decodes
	}
	return &c.waiting
}
