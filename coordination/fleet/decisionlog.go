package fleet

import (
	"fmt"
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/routing"
)

const (
	// maxLoggedPrograms is the number of programs whose decisions are kept.
	maxLoggedPrograms = 2000
	// maxDecisionsPerProgram is the number of decisions that are kept per program.
	maxDecisionsPerProgram = 8
)

// DecisionRecord is a routing decision kept for operators to inspect.
type DecisionRecord struct {
	At       time.Time
	Decision routing.Decision
}

// decisionLog keeps the latest routing decisions of recent programs.
type decisionLog struct {
	mutex   sync.Mutex
	entries map[string][]DecisionRecord
	order   []string
	counter uint64
}

func newDecisionLog() *decisionLog { return &decisionLog{entries: make(map[string][]DecisionRecord)} }

// nextReservation returns a unique name for a reservation.
func (l *decisionLog) nextReservation(program string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counter++
	return fmt.Sprintf("%s#%d", program, l.counter)
}

func (l *decisionLog) add(program string, decision routing.Decision, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, found := l.entries[program]
	if !found {
		l.evictOldest()
		l.order = append(l.order, program)
	}
	known = append(known, DecisionRecord{At: at, Decision: decision})
	if excess := len(known) - maxDecisionsPerProgram; excess > 0 {
		known = known[excess:]
	}
	l.entries[program] = known
}

func (l *decisionLog) evictOldest() {
	if len(l.order) < maxLoggedPrograms {
		return
	}
	delete(l.entries, l.order[0])
	l.order = l.order[1:]
}

// Explain returns the latest decisions of this node for the program, oldest
// first.
func (f *Fleet) Explain(program string) []DecisionRecord {
	f.decisions.mutex.Lock()
	defer f.decisions.mutex.Unlock()
	return append([]DecisionRecord(nil), f.decisions.entries[program]...)
}
