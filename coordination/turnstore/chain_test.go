package turnstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/turnstore"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/test/bubble"
)

const (
	chainSeeds = 60
	chainSteps = 150
	// chainTimeout limits a lookup and a write.
	chainTimeout = 10 * time.Second
	chainCache   = 4 << 10
)

var chainRetentions = []time.Duration{time.Second, 8 * time.Second, time.Minute}

// modelTurn is a turn that was answered whole at a time.
type modelTurn struct {
	program   string
	chain     []*statev1.RetainedTurn
	retention time.Duration
	at        time.Time
}

func (m modelTurn) id() string { return m.chain[len(m.chain)-1].GetId() }

func (m modelTurn) isRetained() bool { return time.Since(m.at) < m.retention }

// chainModel takes turns of lines at gateways while storage nodes fail one after the other.
type chainModel struct {
	*chainCluster
	// replicas is the cluster as seen by the gateways.
	replicas turnstore.Replicas
	gateways []*turnstore.Store
	// uncached reads each turn from the storage nodes.
	uncached *turnstore.Store
	stored   []modelTurn
	turns    int
	// heal ends the current fault, nil if there is none.
	heal func()
	// beforeFault is called before a fault begins, unless it is nil.
	beforeFault func()
}

func newChainModel(t *testing.T, seed uint64) *chainModel {
	c := newChainCluster(t, seed)
	return newChainModelWith(c, c)
}

// newChainModelWith returns a model whose gateways see the cluster as given.
func newChainModelWith(c *chainCluster, replicas turnstore.Replicas) *chainModel {
	m := &chainModel{chainCluster: c, replicas: replicas}
	for zone := range chainZones {
		m.gateways = append(m.gateways, m.newGateway(zone, chainCache))
	}
	m.uncached = m.newGateway(chainZones, 1)
	return m
}

func (m *chainModel) newGateway(zone, cacheBytes int) *turnstore.Store {
	started, err := turnstore.New(fmt.Sprint("z", zone), m.replicas, m.views, reach.New(time.Now), cacheBytes)
	assert.NilError(m.t, err)
	return started
}

// retained returns a random turn within its retention, mostly one of the newest. It is false
// if there is none.
func (m *chainModel) retained() (modelTurn, bool) {
	var candidates []modelTurn
	for _, turn := range m.stored {
		if turn.isRetained() {
			candidates = append(candidates, turn)
		}
	}
	if len(candidates) == 0 {
		return modelTurn{}, false
	}
	index := m.draw(len(candidates))
	if m.draw(4) > 0 {
		index = max(index, len(candidates)-1-m.draw(3))
	}
	return candidates[index], true
}

// read reads the turn through the gateway and checks that it gets the whole chain.
func (m *chainModel) read(gateway *turnstore.Store, program string, turn modelTurn) {
	ctx, cancel := context.WithTimeout(m.t.Context(), chainTimeout)
	defer cancel()
	found, err := gateway.History(ctx, program, turn.id())
	assert.NilError(m.t, err, "turn %s of program %s, stored %v before, retained for %v", turn.id(), turn.program, time.Since(turn.at), turn.retention)
	assert.Equal(m.t, len(found), len(turn.chain))
	for index, earlier := range found {
		assert.Equal(m.t, earlier.GetId(), turn.chain[index].GetId())
	}
}

// take takes a turn that continues the given one, or begins a line if it is empty.
func (m *chainModel) take(from modelTurn, program string) {
	m.takeFor(from, program, 0)
}

// takeFor is take with a retention. Zero draws one.
func (m *chainModel) takeFor(from modelTurn, program string, retention time.Duration) {
	gateway := m.gateways[m.draw(len(m.gateways))]
	if len(from.chain) > 0 {
		m.read(gateway, program, from)
	}
	m.pass(time.Duration(m.draw(3)) * time.Second)
	m.turns++
	taken := &statev1.RetainedTurn{Id: fmt.Sprint("turn", m.turns), Input: []byte(program)}
	if retention == 0 {
		retention = chainRetentions[m.draw(len(chainRetentions))]
	}
	next := modelTurn{program: program, retention: retention}
	taken.RetentionMs = next.retention.Milliseconds()
	for _, earlier := range from.chain {
		taken.Ancestors = append(taken.Ancestors, earlier.GetId())
	}
	ctx, cancel := context.WithTimeout(m.t.Context(), chainTimeout)
	defer cancel()
	assert.NilError(m.t, gateway.Put(ctx, program, taken, from.chain))
	next.chain, next.at = append(append([]*statev1.RetainedTurn(nil), from.chain...), taken), time.Now()
	m.stored = append(m.stored, next)
}

// step takes one random step.
func (m *chainModel) step() {
	from, found := m.retained()
	switch kind := m.draw(20); {
	case kind < 11 && found:
		m.take(from, from.program)
	case kind < 13 && found:
		m.take(from, fmt.Sprint("program", m.draw(8)))
	case kind < 15:
		m.take(modelTurn{}, fmt.Sprint("program", m.draw(8)))
	case kind == 15:
		zone := m.draw(len(m.gateways))
		m.gateways[zone] = m.newGateway(zone, chainCache)
	case kind < 18:
		m.changeFault()
	default:
		m.pass(time.Duration(m.draw(60)) * time.Second)
	}
	m.pass(time.Duration(m.draw(4000)) * time.Millisecond)
	if checked, found := m.retained(); found {
		m.read(m.uncached, checked.program, checked)
	}
}

// changeFault ends the current fault, or begins one: no two nodes are lost at a time.
func (m *chainModel) changeFault() {
	if m.heal != nil {
		m.heal()
		m.heal = nil
		return
	}
	if m.beforeFault != nil {
		m.beforeFault()
	}
	all := m.all()
	node := all[m.draw(len(all))]
	name, zone := node.member.Node, node.member.Zone
	switch m.draw(4) {
	case 0:
		m.setCut(node, true)
		m.heal = func() { m.setCut(node, false) }
	case 1:
		m.setCut(node, true)
		m.heal = func() { m.start(name, zone, node) }
	case 2:
		m.setCut(node, true)
		m.heal = func() {
			wiped := m.start(name, zone, nil)
			m.replace(node.member, func(register.View) register.Member { return wiped.member })
		}
	default:
		m.setCut(node, true)
		m.heal = func() {
			m.remove(node)
			added := m.start(fmt.Sprint("added", m.turns, "-", m.draw(1<<20)), zone, nil)
			m.replace(node.member, func(register.View) register.Member { return added.member })
		}
	}
}

// TestLineSurvivesAnyOrderOfFaults guards against a turn that isn't found within its retention
// though no two nodes were lost at a time, and against turns that are never deleted.
func TestLineSurvivesAnyOrderOfFaults(t *testing.T) {
	for seed := range uint64(chainSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				m := newChainModel(t, seed)
				m.lossRate = float64(seed%3) * 0.02
				for range chainSteps {
					m.step()
				}
				if m.heal != nil {
					m.heal()
				}
				longest := chainRetentions[len(chainRetentions)-1]
				m.pass(3*longest + 30*time.Second + 2*collectInterval)
				assert.Equal(t, m.storedTurns(), 0, "turns are kept after their time")
			})
		})
	}
}

// TestChainIsStoredAtEachMember guards against members that store a turn without its ancestors,
// of the same shard and of others.
func TestChainIsStoredAtEachMember(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m := newChainModel(t, 1)
		m.take(modelTurn{}, "program0")
		for number := range 12 {
			m.take(m.stored[len(m.stored)-1], fmt.Sprint("program", number/4))
		}
		last := m.stored[len(m.stored)-1]
		home := m.views.Locate(last.program)
		for _, node := range m.all() {
			held := make(map[string]bool)
			assert.NilError(t, node.disk.EachTurnKey(home, func(stored replica.Turn) error { held[stored.Program] = true; return nil }))
			for _, earlier := range last.chain {
				assert.Assert(t, held[earlier.GetId()] || !held[last.id()], "%s has turn %s without %s", node.member.Node, last.id(), earlier.GetId())
			}
		}
	})
}

// refusingLink refuses one turn at one member.
type refusingLink struct {
	*chainCluster
	node, id string
}

func (l refusingLink) PutTurn(ctx context.Context, member register.Member, fence register.Fence, turn replica.Turn) (archive.Reply, error) {
	if member.Node == l.node && turn.Program == l.id {
		return archive.Reply{Refusal: register.RefusalNotReady}, nil
	}
	return l.chainCluster.PutTurn(ctx, member, fence, turn)
}

// TestMemberWithoutAncestorsIsNotCounted guards against a turn that counts as stored at a member
// that refused one of its ancestors.
func TestMemberWithoutAncestorsIsNotCounted(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m := newChainModel(t, 1)
		program := "p"
		for m.views.Locate(program) != 0 {
			program += "p"
		}
		first, second := &statev1.RetainedTurn{Id: "first"}, &statev1.RetainedTurn{Id: "second", Ancestors: []string{"first"}}
		assert.NilError(t, m.gateways[0].Put(t.Context(), program, first, nil))
		link := refusingLink{chainCluster: m.chainCluster, node: "n2", id: "first"}
		gateway, err := turnstore.New("z2", link, m.views, reach.New(time.Now), chainCache)
		assert.NilError(t, err)
		assert.NilError(t, gateway.Put(t.Context(), program, second, []*statev1.RetainedTurn{first}))
		m.setCut(m.nodes["n2"], true)
		m.read(m.uncached, program, modelTurn{program: program, chain: []*statev1.RetainedTurn{first, second}})
		m.setCut(m.nodes["n2"], false)
		m.setCut(m.nodes["n1"], true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		third := &statev1.RetainedTurn{Id: "third", Ancestors: []string{"first"}}
		assert.ErrorIs(t, gateway.Put(ctx, program, third, []*statev1.RetainedTurn{first}), turnstore.ErrNoQuorum)
	})
}
