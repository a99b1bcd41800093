package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// Observers that aren't nodes. Evidence is keyed by engine and observer; the
// highest version wins, and among equal versions the one with the leaving mark.
// All nodes share one entry for the engine's own state and one for the
// platform's machine list. Node names must not begin with "@".
const (
	// ObserverEngine is the observer of what the engine reports itself: a 503
	// response or its state.
	ObserverEngine = "@engine"
	// ObserverMachineList is the observer of the platform's machine list.
	ObserverMachineList = "@machines"
)

type evidenceKey struct {
	engine   string
	observer string
}

// shared reports whether all nodes write to the same entry.
func (k evidenceKey) shared() bool {
	return k.observer == ObserverEngine || k.observer == ObserverMachineList
}

type evidence struct {
	fact       *peerv1.EngineEvidence
	receivedAt time.Time
}

// Machine is one entry of the platform's machine list.
type Machine struct {
	Name    string
	Leaving bool
}

// EngineReport is the state of an engine as this node learned it from the engine.
type EngineReport struct {
	Engine string
	// Leaving is set when the engine responded with 503 or reported that it is
	// leaving.
	Leaving bool
	// RequestedAt is when the request was sent that the engine responded to. A report
	// that the engine isn't leaving overrides only evidence from before RequestedAt.
	RequestedAt time.Time
}

// ObserveMachines applies a reading of the platform's machine list. As readings
// may be outdated, one clears a leaving mark only if this node's previous reading
// had it or the mark is older than Settings.MachineListLag.
func (g *Gossip) ObserveMachines(now time.Time, machines []Machine) {
	for _, machine := range machines {
		g.observeMachine(now, machine)
	}
	g.publishIfStale()
}

func (g *Gossip) observeMachine(now time.Time, machine Machine) {
	key := evidenceKey{engine: machine.Name, observer: ObserverMachineList}
	sawLeaving := g.listedLeaving[machine.Name]
	g.recordListing(machine)
	known := g.evidence[key].fact
	if machine.Leaving == known.GetLeaving() {
		return
	}
	if machine.Leaving && !sawLeaving {
		g.writeEvidence(now, key, true, false)
		return
	}
	outdated := now.Sub(g.evidence[key].receivedAt) > g.settings.MachineListLag
	if !machine.Leaving && (sawLeaving || outdated) {
		g.writeEvidence(now, key, false, false)
	}
}

func (g *Gossip) recordListing(machine Machine) {
	if machine.Leaving {
		g.listedLeaving[machine.Name] = true
		return
	}
	delete(g.listedLeaving, machine.Name)
}

// ObserveEngine applies what this node learned from an engine.
func (g *Gossip) ObserveEngine(now time.Time, report EngineReport) {
	key := evidenceKey{engine: report.Engine, observer: ObserverEngine}
	known := g.evidence[key]
	if report.Leaving == known.fact.GetLeaving() {
		return
	}
	if !report.Leaving && !report.RequestedAt.After(known.receivedAt) {
		return
	}
	g.writeEvidence(now, key, report.Leaving, false)
	g.publishIfStale()
}

// ObserveEjection records whether this node has stopped sending work to the
// engine.
func (g *Gossip) ObserveEjection(now time.Time, engine string, ejected bool) {
	key := evidenceKey{engine: engine, observer: g.self.identity.Node}
	if g.evidence[key].fact.GetEjected() == ejected {
		return
	}
	g.writeEvidence(now, key, false, ejected)
	g.publishIfStale()
}

// writeEvidence creates the next version of an entry.
func (g *Gossip) writeEvidence(now time.Time, key evidenceKey, leaving, ejected bool) {
	g.mergeEvidence(now, &peerv1.EngineEvidence{
		Engine:   key.engine,
		Observer: key.observer,
		Version:  g.evidence[key].fact.GetVersion() + 1,
		Leaving:  leaving,
		Ejected:  ejected,
	})
}

func (g *Gossip) mergeEvidence(now time.Time, fact *peerv1.EngineEvidence) {
	key := evidenceKey{engine: fact.GetEngine(), observer: fact.GetObserver()}
	if key.engine == "" || key.observer == "" || len(key.engine)+len(key.observer) > maximumNameLength {
		return
	}
	known, found := g.evidence[key]
	if found && !evidenceSupersedes(fact, known.fact) {
		return
	}
	if !found && !g.hasRoomForEvidence(fact) {
		return
	}
	g.evidence[key] = evidence{fact: fact, receivedAt: now}
	g.snapshotStale = true
	g.digest = 0
	if fact.GetLeaving() != known.fact.GetLeaving() {
		g.recordEvent(Event{Kind: EngineChanged, Engine: key.engine, EngineLeaving: fact.GetLeaving()})
	}
	g.disseminateEvidence(key, fact)
}

// hasRoomForEvidence reserves most of the table for leaving engines: during a
// network partition every node ejects the engines that it can't reach.
func (g *Gossip) hasRoomForEvidence(fact *peerv1.EngineEvidence) bool {
	if fact.GetLeaving() {
		return len(g.evidence) < maximumEvidence
	}
	return len(g.evidence) < maximumEvidence/4
}

func (g *Gossip) disseminateEvidence(key evidenceKey, fact *peerv1.EngineEvidence) {
	level := priorityEjected
	if key.shared() {
		level = priorityLeaving
	}
	if fact.GetLeaving() {
		g.queueUrgent()
	}
	about := subject{engine: key.engine, observer: key.observer}
	g.queue.add(about, level, transmissionLimit(len(g.records)+1))
}

func evidenceSupersedes(candidate, known *peerv1.EngineEvidence) bool {
	if candidate.GetVersion() != known.GetVersion() {
		return candidate.GetVersion() > known.GetVersion()
	}
	return candidate.GetLeaving() && !known.GetLeaving()
}

func (g *Gossip) machineLeaving(name string) bool {
	key := evidenceKey{engine: name, observer: ObserverMachineList}
	return g.evidence[key].fact.GetLeaving()
}

func (g *Gossip) engineViews() map[string]engineView {
	views := make(map[string]engineView)
	for key, entry := range g.evidence {
		view := views[key.engine]
		view.leaving = view.leaving || entry.fact.GetLeaving()
		if entry.fact.GetEjected() {
			view.ejections++
		}
		views[key.engine] = view
	}
	return views
}

func (g *Gossip) evidenceDigest() uint64 {
	var digest uint64
	for key, entry := range g.evidence {
		if !entry.fact.GetLeaving() {
			continue
		}
		hash := xxhash.New()
		_, _ = hash.WriteString(key.engine)
		_, _ = hash.WriteString(key.observer)
		writeNumber(hash, entry.fact.GetVersion())
		digest ^= hash.Sum64()
	}
	return digest
}

func (g *Gossip) pruneEvidence(oldest time.Time) {
	for key, entry := range g.evidence {
		withdrawn := !entry.fact.GetLeaving() && !entry.fact.GetEjected()
		if withdrawn && entry.receivedAt.Before(oldest) {
			delete(g.evidence, key)
			g.snapshotStale = true
		}
	}
}

func writeNumber(hash *xxhash.Digest, number uint64) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], number)
	_, _ = hash.Write(buffer[:])
}
