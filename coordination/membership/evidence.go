package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// Evidence about an engine is kept by engine and observer; the highest version
// wins, and of equal versions the one that says leaving. Two observers aren't
// nodes: what the engine says itself and what the platform's machine list says
// is the same whoever read it, so all nodes share one entry for each. Node
// names must not begin with "@".
const (
	// ObserverEngine stands for the engine's own word: an answer 503 or its
	// state.
	ObserverEngine = "@engine"
	// ObserverMachineList stands for the platform's machine list.
	ObserverMachineList = "@machines"
)

type evidenceKey struct {
	engine   string
	observer string
}

// shared reports whether all nodes write the same entry.
func (k evidenceKey) shared() bool {
	return k.observer == ObserverEngine || k.observer == ObserverMachineList
}

type evidence struct {
	fact       *peerv1.EngineEvidence
	receivedAt time.Time
}

// Machine is one line of the platform's machine list.
type Machine struct {
	Name    string
	Leaving bool
}

// EngineReport is what this node saw of an engine itself.
type EngineReport struct {
	Engine string
	// Leaving is the engine's own word: it answered 503, or its state says so.
	Leaving bool
	// Asked is when the question was sent that the engine answered. A report
	// that an engine isn't leaving only counts against older evidence.
	Asked time.Time
}

// ObserveMachines takes in a reading of the platform's machine list. The list
// lags, so that it can withdraw only what it said itself.
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

// ObserveEngine takes in what this node saw of an engine.
func (g *Gossip) ObserveEngine(now time.Time, report EngineReport) {
	key := evidenceKey{engine: report.Engine, observer: ObserverEngine}
	known := g.evidence[key]
	if report.Leaving == known.fact.GetLeaving() {
		return
	}
	if !report.Leaving && !report.Asked.After(known.receivedAt) {
		return
	}
	g.writeEvidence(now, key, report.Leaving, false)
	g.publishIfStale()
}

// ObserveEjection says whether this node sends the engine no work.
func (g *Gossip) ObserveEjection(now time.Time, engine string, ejected bool) {
	key := evidenceKey{engine: engine, observer: g.self.identity.Node}
	if g.evidence[key].fact.GetEjected() == ejected {
		return
	}
	g.writeEvidence(now, key, false, ejected)
	g.publishIfStale()
}

// writeEvidence writes the next version of an entry.
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

// hasRoomForEvidence keeps a part of the room for leaving engines: a cut makes
// every node eject half of the engines.
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
		over := !entry.fact.GetLeaving() && !entry.fact.GetEjected()
		if over && entry.receivedAt.Before(oldest) {
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
