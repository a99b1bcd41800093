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
	engines  map[string]eventCursor
}

type eventCursor struct {
	last uint64
	// gapAt is when events were last found missing.
	gapAt time.Time
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
	// learnedAt is when anything last changed the entry.
	learnedAt time.Time
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
		engines:  make(map[string]eventCursor),
	}
}

// Dispatched records that a prompt is being computed on the engine.
func (l *Locality) Dispatched(program, engine string, promptTokens uint64, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.set(program, holding{engine: engine, tokens: promptTokens, exactAt: now, learnedAt: now})
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
	if !l.advance(engine, event.Number, now) {
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
	l.set(event.Program, holding{engine: engine, tokens: tokens, learnedAt: now})
}

// CachedOn lists the engines believed to have context of the program. What was
// learned before a gap in an engine's events counts half: the eviction may
// have been in the gap.
func (l *Locality) CachedOn(program string) []Cached {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	element, found := l.programs[program]
	if !found {
		return nil
	}
	l.recent.MoveToFront(element)
	holdings := element.Value.(*programLocality).holdings
	cached := make([]Cached, 0, len(holdings))
	for _, known := range holdings {
		tokens := known.tokens
		if l.engines[known.engine].gapAt.After(known.learnedAt) {
			tokens /= 2
		}
		if tokens > 0 {
			cached = append(cached, Cached{Engine: known.engine, Tokens: tokens})
		}
	}
	return cached
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
	delete(l.engines, engine)
	for program := range l.programs {
		l.remove(program, engine)
	}
}

// Len returns the number of programs.
func (l *Locality) Len() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.programs)
}

// advance notes gaps and says whether the event is new.
func (l *Locality) advance(engine string, number uint64, now time.Time) bool {
	cursor, known := l.engines[engine]
	if known && number <= cursor.last {
		return false
	}
	if known && number > cursor.last+1 {
		cursor.gapAt = now
	}
	cursor.last = number
	l.engines[engine] = cursor
	return true
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
	entry := element.Value.(*programLocality)
	for i := range entry.holdings {
		if entry.holdings[i].engine == added.engine {
			entry.holdings[i] = added
			return
		}
	}
	entry.holdings = append(entry.holdings, added)
}

func (l *Locality) remove(program, engine string) {
	element, found := l.programs[program]
	if !found {
		return
	}
	entry := element.Value.(*programLocality)
	entry.holdings = slices.DeleteFunc(entry.holdings, func(known holding) bool {
		return known.engine == engine
	})
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
	delete(l.programs, element.Value.(*programLocality).program)
}
