package routing

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// EventKind is what a cache event reports.
type EventKind string

// Kinds of cache events, as engines name them.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// Event is a cache event of an engine. Events come late and with gaps.
type Event struct {
	Number  uint64
	Kind    EventKind
	Program string
	// Tokens is the length of the prefix that is cached after the event.
	Tokens uint64
}

// Locality remembers which engine has how many tokens of which program's
// context. It is fed by own dispatches and answers, which are exact, and by
// cache events, which lag. It holds a bounded number of programs and drops the
// least recently used. What it says is a hint: an answer's cached tokens
// correct it.
type Locality struct {
	mutex    sync.Mutex
	limit    int
	eventLag time.Duration
	programs map[string]*list.Element
	recent   *list.List
	engines  map[string]*engineEvents
}

// engineEvents is what a Locality keeps of an engine's cache events.
type engineEvents struct {
	last     uint64
	seen     float64
	evicted  float64
	missed   float64
	holdings int
}

// missedEvictions estimates how many evictions were among the missing events,
// assuming that they are like those seen.
func (e *engineEvents) missedEvictions() float64 {
	if e.seen == 0 {
		return 0
	}
	return e.missed * e.evicted / e.seen
}

type programLocality struct {
	program  string
	holdings []holding
}

type holding struct {
	engine string
	tokens uint64
	// exactAt is when an own answer last confirmed the tokens.
	exactAt time.Time
	// missedBefore are the evictions that were missed before the tokens were
	// learned.
	missedBefore float64
}

// NewLocality makes a map of at most limit programs. Events are taken to be up
// to eventLag old: an eviction that arrives within eventLag after an own
// answer may have happened before it and is not believed.
func NewLocality(limit int, eventLag time.Duration) *Locality {
	return &Locality{
		limit:    max(limit, 1),
		eventLag: eventLag,
		programs: make(map[string]*list.Element),
		recent:   list.New(),
		engines:  make(map[string]*engineEvents),
	}
}

// Dispatched records that a prompt is being computed on the engine.
func (l *Locality) Dispatched(program, engine string, promptTokens uint64, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.set(program, holding{engine: engine, tokens: promptTokens, exactAt: now})
}

// Answered records the context an engine has after an answer: the whole prompt
// and the output.
func (l *Locality) Answered(program, engine string, contextTokens uint64, now time.Time) {
	l.Dispatched(program, engine, contextTokens, now)
}

// Lost records that the engine turned out to have nothing of the program.
func (l *Locality) Lost(program, engine string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.remove(program, engine)
}

// Observe takes in a cache event.
func (l *Locality) Observe(engine string, event Event, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.advance(engine, event) {
		return
	}
	known, found := l.find(event.Program, engine)
	if found && now.Sub(known.exactAt) < l.eventLag {
		return
	}
	if event.Tokens == 0 {
		l.remove(event.Program, engine)
		return
	}
	tokens := event.Tokens
	if found && event.Kind == EventEvicted {
		tokens = min(tokens, known.tokens)
	}
	l.set(event.Program, holding{engine: engine, tokens: tokens})
}

// CachedOn lists the engines believed to have context of the program, or of one
// of the other keys, such as a prompt prefix that programs share; where they
// have several, the longest counts. Events that are missing since an entry was
// learned lower its tokens by the chance that one of them evicted it.
func (l *Locality) CachedOn(program string, others ...string) []Cached {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	cached := l.collect(nil, program, false)
	for _, key := range others {
		cached = l.collect(cached, key, true)
	}
	return cached
}

func (l *Locality) collect(cached []Cached, key string, shared bool) []Cached {
	element, found := l.programs[key]
	if !found {
		return cached
	}
	l.recent.MoveToFront(element)
	for _, known := range element.Value.(*programLocality).holdings {
		cached = longest(cached, Cached{Engine: known.engine, Tokens: l.expected(&known), Shared: shared})
	}
	return cached
}

// expected are the tokens of an entry times the chance that they are still
// there, if each missed eviction hit any of the engine's entries alike.
func (l *Locality) expected(known *holding) uint64 {
	events := l.engines[known.engine]
	missed := events.missedEvictions() - known.missedBefore
	chance := 1 - missed/float64(max(events.holdings, 1))
	return uint64(float64(known.tokens) * min(max(chance, 0), 1))
}

// longest adds an entry, or replaces a shorter one of the same engine.
func longest(cached []Cached, added Cached) []Cached {
	if added.Tokens == 0 {
		return cached
	}
	for i := range cached {
		if cached[i].Engine != added.Engine {
			continue
		}
		if added.Tokens > cached[i].Tokens {
			cached[i] = added
		}
		return cached
	}
	return append(cached, added)
}

// Forget drops a program that has ended.
func (l *Locality) Forget(program string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if element, found := l.programs[program]; found {
		l.drop(element)
	}
}

// ForgetEngine drops an engine that is gone or has restarted.
func (l *Locality) ForgetEngine(engine string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for program := range l.programs {
		l.remove(program, engine)
	}
	delete(l.engines, engine)
}

// Len returns the number of programs.
func (l *Locality) Len() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.programs)
}

// advance counts the event and those missing before it, and reports whether it
// is new.
func (l *Locality) advance(engine string, event Event) bool {
	events := l.open(engine)
	if events.seen > 0 && event.Number <= events.last {
		return false
	}
	if events.seen > 0 {
		events.missed += float64(event.Number - events.last - 1)
	}
	events.last = event.Number
	events.seen++
	if event.Kind == EventEvicted {
		events.evicted++
	}
	return true
}

func (l *Locality) open(engine string) *engineEvents {
	events, known := l.engines[engine]
	if !known {
		events = &engineEvents{}
		l.engines[engine] = events
	}
	return events
}

func (l *Locality) find(program, engine string) (holding, bool) {
	element, found := l.programs[program]
	if !found {
		return holding{}, false
	}
	for _, known := range element.Value.(*programLocality).holdings {
		if known.engine == engine {
			return known, true
		}
	}
	return holding{}, false
}

func (l *Locality) set(program string, added holding) {
	element, found := l.programs[program]
	if !found {
		element = l.recent.PushFront(&programLocality{program: program})
		l.programs[program] = element
		l.trim()
	}
	l.recent.MoveToFront(element)
	events := l.open(added.engine)
	added.missedBefore = events.missedEvictions()
	entry := element.Value.(*programLocality)
	for i := range entry.holdings {
		if entry.holdings[i].engine == added.engine {
			entry.holdings[i] = added
			return
		}
	}
	entry.holdings = append(entry.holdings, added)
	events.holdings++
}

func (l *Locality) remove(program, engine string) {
	element, found := l.programs[program]
	if !found {
		return
	}
	entry := element.Value.(*programLocality)
	position := slices.IndexFunc(entry.holdings, func(known holding) bool { return known.engine == engine })
	if position < 0 {
		return
	}
	entry.holdings = slices.Delete(entry.holdings, position, position+1)
	l.open(engine).holdings--
	if len(entry.holdings) == 0 {
		l.drop(element)
	}
}

func (l *Locality) trim() {
	for len(l.programs) > l.limit {
		l.drop(l.recent.Back())
	}
}

func (l *Locality) drop(element *list.Element) {
	l.recent.Remove(element)
	entry := element.Value.(*programLocality)
	delete(l.programs, entry.program)
	for _, known := range entry.holdings {
		l.open(known.engine).holdings--
	}
}
