package quarantine

import (
	"slices"
	"time"
)

// merged is what several nodes know of a request. Each may lack tries that others know of.
type merged struct {
	now time.Time
	// most is the most that one node has counted.
	most             Suspicion
	crashes, pending []end
	// clearedAt is when a try was last completed, as far as a node knows.
	clearedAt time.Time
}

func (m *merged) add(record Record) {
	m.most = m.most.Most(record.Suspicion)
	if clearedAt := m.now.Add(-record.ClearedAgo); record.ClearedAgo > 0 && clearedAt.After(m.clearedAt) {
		m.clearedAt = clearedAt
	}
	for _, try := range record.Tries {
		added := endOf(try, m.now)
		if try.IsCrash {
			m.crashes = mergeEnd(m.crashes, added)
		} else {
			m.pending = mergeEnd(m.pending, added)
		}
	}
}

// mergeEnd adds an end unless it is known. A node that wasn't told of the end of an exchange
// places it too late.
func mergeEnd(ends []end, added end) []end {
	index := slices.IndexFunc(ends, added.isSame)
	if index < 0 {
		return append(ends, added)
	}
	if added.ended.Before(ends[index].ended) {
		ends[index].ended = added.ended
	}
	ends[index].limit(added)
	return ends
}

// suspicion returns what the nodes know together.
func (m *merged) suspicion() Suspicion {
	crashes := slices.DeleteFunc(slices.Clone(m.crashes), m.isForgotten)
	all := slices.Clone(crashes)
	for _, send := range m.pending {
		if !m.isForgotten(send) {
			all = mergeEnd(all, send)
		}
	}
	return m.most.Most(Suspicion{Crashes: len(longestRow(crashes)), Suspected: len(longestSuspectedRow(all))})
}

// isForgotten reports whether the try was made before one that was completed. A node that
// wasn't told of that may still have it.
func (m *merged) isForgotten(of end) bool { return of.sent.Before(m.clearedAt) }
