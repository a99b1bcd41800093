package fleet

import (
	"fmt"
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/routing"
)

// Bounds of the journal. Both are chosen, not measured.
const (
	// maxJournalPrograms is the number of programs whose decisions are kept.
	maxJournalPrograms = 2000
	// maxJournalEntries is the number of decisions that are kept of each.
	maxJournalEntries = 8
)

// Explained is one decision kept for operators who ask why.
type Explained struct {
	At       time.Time
	Decision routing.Decision
}

// journal keeps the last decisions of recent programs.
type journal struct {
	mutex   sync.Mutex
	entries map[string][]Explained
	order   []string
	counter uint64
}

func newJournal() *journal { return &journal{entries: make(map[string][]Explained)} }

// nextName names a piece of reserved work.
func (j *journal) nextName(program string) string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.counter++
	return fmt.Sprintf("%s#%d", program, j.counter)
}

func (j *journal) add(program string, decision routing.Decision, at time.Time) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	known, found := j.entries[program]
	if !found {
		j.makeRoom()
		j.order = append(j.order, program)
	}
	known = append(known, Explained{At: at, Decision: decision})
	if excess := len(known) - maxJournalEntries; excess > 0 {
		known = known[excess:]
	}
	j.entries[program] = known
}

func (j *journal) makeRoom() {
	if len(j.order) < maxJournalPrograms {
		return
	}
	delete(j.entries, j.order[0])
	j.order = j.order[1:]
}

// Explain returns the last decisions that this node made for the program,
// oldest first.
func (f *Fleet) Explain(program string) []Explained {
	f.journal.mutex.Lock()
	defer f.journal.mutex.Unlock()
	return append([]Explained(nil), f.journal.entries[program]...)
}
