package backend

import "time"

// endedRetention is how long the start time of a removed instance is kept, so that a
// delayed entry of an earlier incarnation doesn't bring it back. It is three times the
// history of a store, after which no old entries are delivered.
const endedRetention = time.Minute

// Incarnation identifies one incarnation of a backend process. A restarted instance may keep its
// ID, but its requests, health, connections and memory belong to a single incarnation.
type Incarnation struct {
	ID string
	// Started is the start time of the process by its own clock; zero if unknown.
	Started time.Time
}

// Incarnation returns the current incarnation of the instance.
func (i Instance) Incarnation() Incarnation { return Incarnation{ID: i.ID, Started: i.Started} }

// String identifies the incarnation in messages and log lines.
func (i Incarnation) String() string {
	if i.Started.IsZero() {
		return i.ID
	}
	return i.ID + " started " + i.Started.UTC().Format(time.RFC3339Nano)
}

// isSame reports whether both may be the same incarnation. An unknown start time matches
// any other, since older backends don't report it.
func (i Incarnation) isSame(other Incarnation) bool {
	return i.ID == other.ID && (i.Started.IsZero() || other.Started.IsZero() || i.Started.Equal(other.Started))
}

// Restart describes an instance that was restarted under its ID.
type Restart struct {
	Previous, Current Incarnation
	// InFlight is the number of requests that this node had in flight at the previous
	// incarnation. They may have been processed.
	InFlight int64
}

// endedIncarnation is the last incarnation of a removed instance.
type endedIncarnation struct {
	started time.Time
	// removedAt is when the instance was removed.
	removedAt time.Time
}

// resolveIncarnations returns the listed instances, each in its newest incarnation. An
// entry without a start time stands for the newest known one. An entry of an earlier
// incarnation is outdated: a known instance stays as it is, a removed one stays removed.
// The mutex must be held.
func (p *Pool) resolveIncarnations(previous *snapshot, listed []Instance) []Instance {
	resolved := make([]Instance, 0, len(listed))
	for _, instance := range listed {
		known, isKnown := previous.byID[instance.ID]
		newest := p.ended[instance.ID].started
		if isKnown {
			newest = known.Started
		}
		switch {
		case instance.Started.IsZero():
			instance.Started = newest
		case instance.Started.Before(newest) && isKnown:
			instance = known.Instance
		case instance.Started.Before(newest):
			continue
		}
		resolved = append(resolved, instance)
	}
	return resolved
}

// recordEnded keeps the start time of a removed instance. The mutex must be held.
func (p *Pool) recordEnded(removed *member) {
	if !removed.Started.IsZero() {
		p.ended[removed.ID] = endedIncarnation{started: removed.Started, removedAt: p.now()}
	}
}

// pruneEnded drops the instances that were removed at least endedRetention ago. The mutex
// must be held.
func (p *Pool) pruneEnded() {
	for id, last := range p.ended {
		if p.now().Sub(last.removedAt) >= endedRetention {
			delete(p.ended, id)
		}
	}
}
