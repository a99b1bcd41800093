package backend

import "time"

// endedRetention is how long the start of an instance that is gone is remembered, so that
// a late entry of an earlier life doesn't bring it back. It is three times as long as a
// store keeps its history, after which nobody is told of old entries.
const endedRetention = time.Minute

// Life is one run of a back end process, from its start to its end. An instance may be
// started again under the id that it had; nothing that is known of one life holds for
// another: neither the requests that it works on nor how it has served, its connections
// nor what it keeps in memory.
type Life struct {
	ID string
	// Started is when the process started, by its own clock; zero where it doesn't say.
	Started time.Time
}

// Life returns the life that the instance is in.
func (i Instance) Life() Life { return Life{ID: i.ID, Started: i.Started} }

// isSame tells whether both may be the same life. One that doesn't say when it began is
// taken for the other: back ends of older versions never say it.
func (l Life) isSame(other Life) bool {
	return l.ID == other.ID && (l.Started.IsZero() || other.Started.IsZero() || l.Started.Equal(other.Started))
}

// Restart tells that an instance was started again under its id.
type Restart struct {
	Was, Is Life
	// UnderWay is how many requests of this node the earlier life had. They may have
	// run.
	UnderWay int64
}

// endedLife is the last life of an instance that is gone.
type endedLife struct {
	started time.Time
	// detected is when the instance was found to be gone.
	detected time.Time
}

// resolveLives returns the listed instances, each in its newest life. An entry without a start
// belongs to the life that is known. An entry of an earlier life is late and changes
// nothing: an instance that is known stays as it is, and one that is gone stays gone. The
// mutex must be held.
func (p *Pool) resolveLives(previous *snapshot, listed []Instance) []Instance {
	adopted := make([]Instance, 0, len(listed))
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
		adopted = append(adopted, instance)
	}
	return adopted
}

// recordEnded keeps when the last life of an instance that is gone began. The mutex must be
// held.
func (p *Pool) recordEnded(gone *member) {
	if !gone.Started.IsZero() {
		p.ended[gone.ID] = endedLife{started: gone.Started, detected: p.now()}
	}
}

// pruneEnded drops what is remembered of instances that have been gone for long. The
// mutex must be held.
func (p *Pool) pruneEnded() {
	for id, last := range p.ended {
		if p.now().Sub(last.detected) >= endedRetention {
			delete(p.ended, id)
		}
	}
}
