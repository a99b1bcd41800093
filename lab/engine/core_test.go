package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testModels = []Loaded{{Name: "m", Version: "1"}}

// newTestCore returns an engine with room for memoryTokens.
func newTestCore(memoryTokens int) *Core {
	generation := generations[2]
	generation.MemoryTokens = memoryTokens
	generation.MaxBatch = 4
	return NewCore(CoreOptions{Generation: generation, Models: testModels, MaxWaiting: 8})
}

// finish advances an engine until it has nothing left to do.
func finish(c *Core) []Event {
	var all []Event
	for at, any := c.NextEvent(); any; at, any = c.NextEvent() {
		all = append(all, c.Advance(at)...)
	}
	return all
}

func finishedOf(events []Event) []Event {
	var finished []Event
	for _, event := range events {
		if event.Kind == Finished {
			finished = append(finished, event)
		}
	}
	return finished
}

// checkMemory compares the counters of the cache with its nodes.
func checkMemory(t assert.TestingT, c *Core) {
	var cached, locked, held, private int
	for _, n := range c.cache.nodes {
		cached += n.kept
		switch {
		case n.locks > 0:
			locked += n.kept
		case n.holds > 0:
			held += n.kept
		}
		assert.Assert(t, n.kept >= 0 && n.kept <= n.blocks())
		assert.Assert(t, n.children == 0 || n.kept == n.blocks())
		assert.Assert(t, n.position >= 0 || n.children > 0 || n.locks > 0, "a leaf that can't be evicted")
	}
	for _, j := range c.jobs {
		assert.Assert(t, j.memory.private >= 0)
		private += j.memory.private
	}
	assert.Equal(t, c.cache.cached, cached)
	assert.Equal(t, c.cache.locked, locked)
	assert.Equal(t, c.cache.held, held)
	assert.Equal(t, c.cache.private, private)
	assert.Assert(t, c.cache.used() <= c.cache.limit)
}

// TestCoreUnderRandomCalls drives an engine with random calls and checks after
// each that memory stays in its limit, and at the end that every request ended
// once and that nothing is left of holds once they are released.
func TestCoreUnderRandomCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCore(rapid.IntRange(4, 60).Draw(t, "blocks") * BlockTokens)
		driver := &randomDriver{core: c, ended: map[uint64]int{}}
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			driver.call(t)
			checkMemory(t, c)
		}
		driver.see(finish(c))
		checkMemory(t, c)
		assert.Equal(t, len(driver.ended), len(driver.accepted))
		for _, id := range driver.accepted {
			assert.Equal(t, driver.ended[id], 1)
		}
		for _, held := range c.Holds(driver.now) {
			assert.Assert(t, held.Tokens > 0)
			c.Release(driver.now, held.Program)
		}
		assert.Equal(t, c.cache.held+c.cache.locked+c.cache.private, 0)
		c.cache.evict(c.cache.limit)
		assert.Equal(t, len(c.cache.nodes), 0)
	})
}

type randomDriver struct {
	core     *Core
	now      time.Duration
	id       uint64
	accepted []uint64
	ended    map[uint64]int
}

func (d *randomDriver) see(events []Event) {
	for _, event := range finishedOf(events) {
		d.ended[event.ID]++
	}
}

func (d *randomDriver) call(t *rapid.T) {
	d.now += time.Duration(rapid.IntRange(0, int(2*time.Second)).Draw(t, "pause"))
	program := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "program")
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0, 1, 2, 3:
		d.submit(t, program)
	case 4:
		d.core.Cancel(d.now, rapid.Uint64Range(0, d.id).Draw(t, "cancelled"))
	case 5:
		d.core.Release(d.now, program)
	case 6:
		exported, _, err := d.core.Export(d.now, program)
		if err == nil {
			d.id++
			_ = d.core.Import(d.now, d.id, "d", exported)
		}
	case 7:
		d.see(d.core.Advance(d.now))
	}
}

func (d *randomDriver) submit(t *rapid.T, program string) {
	d.id++
	request := Request{
		ID:           d.id,
		Program:      program,
		Model:        "m",
		OutputID:     rapid.Uint64Range(1, 4).Draw(t, "output"),
		OutputTokens: rapid.IntRange(0, 100).Draw(t, "output tokens"),
		Priority:     rapid.Uint32Range(0, 2).Draw(t, "priority"),
		Hold:         rapid.Bool().Draw(t, "hold"),
	}
	for range rapid.IntRange(0, 5).Draw(t, "segments") {
		id := rapid.Uint64Range(1, 3).Draw(t, "segment")
		request.Path = append(request.Path, Segment{ID: id, Tokens: int(id*id) * 5})
	}
	if d.core.Submit(d.now, request) == nil {
		d.accepted = append(d.accepted, d.id)
	}
}
