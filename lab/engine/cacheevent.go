package engine

import (
	"encoding/binary"
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CacheEventKind says what happened to the context of a program.
type CacheEventKind int

// Kinds of cache events.
const (
	CacheStored CacheEventKind = iota
	CacheEvicted
)

// CacheEvent tells how much of a program's context the cache has.
type CacheEvent struct {
	Number  uint64
	At      time.Duration
	Kind    CacheEventKind
	Program string
	// Tokens is the length of the prefix that is cached after the event.
	Tokens int
}

// keptCacheEvents is how many events can still be read, at least.
const keptCacheEvents = 2048

// cacheEvents is the log of cache events: late, with gaps and of limited
// length.
type cacheEvents struct {
	delay  time.Duration
	loss   float64
	seed   uint64
	number uint64
	list   []CacheEvent
}

func (e *cacheEvents) add(now time.Duration, kind CacheEventKind, program string, tokens int) {
	if program == "" {
		return
	}
	e.number++
	if e.lost(e.number) {
		return
	}
	if len(e.list) == 2*keptCacheEvents {
		copy(e.list, e.list[keptCacheEvents:])
		e.list = e.list[:keptCacheEvents]
	}
	e.list = append(e.list, CacheEvent{Number: e.number, At: now, Kind: kind, Program: program, Tokens: tokens})
}

func (e *cacheEvents) lost(number uint64) bool {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[0:], e.seed)
	binary.LittleEndian.PutUint64(buffer[8:], number)
	return float64(xxhash.Sum64(buffer[:]))/math.MaxUint64 < e.loss
}

// CacheEvents returns the published events after a number. They are published
// late, and some never are.
func (c *Core) CacheEvents(now time.Duration, after uint64) []CacheEvent {
	c.run(now)
	list := c.events.list
	start := sort.Search(len(list), func(i int) bool { return list[i].Number > after })
	end := sort.Search(len(list), func(i int) bool { return list[i].At+c.events.delay > c.now })
	return append([]CacheEvent(nil), list[start:max(start, end)]...)
}
