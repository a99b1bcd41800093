package shard_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/test/bubble"
)

// TestMain fixes the seed and the size of the property tests, which the command
// line may override.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

const (
	modelNodes     = 6
	modelClients   = 4
	modelKeys      = 2
	modelSetSize   = 3
	modelEvents    = 40
	recoveryRounds = 60
	modelDrainTime = 10 * time.Second
)

// modelRun is one run of the model: clients that append to registers while replica
// sets change and nodes fail.
type modelRun struct {
	*network
	// hasDataLoss is set from a loss of memory until every member holds the newest
	// epoch again: a set survives the loss of a minority, not more.
	hasDataLoss bool
	workers     sync.WaitGroup
	// drivers counts those at work.
	drivers atomic.Int32

	historyMutex sync.Mutex
	history      []porcupine.Operation
}

// newestView returns the newest open view that any node knows.
func (w *modelRun) newestView() register.View {
	var newest register.View
	for _, name := range w.names() {
		if view, _ := w.process(name).views.View(0); view.Epoch > newest.Epoch {
			newest = view
		}
	}
	return newest
}

// isHealthy tells whether every member of the newest view is alive, holds its
// data and serves it, and no change of epoch is under way.
func (w *modelRun) isHealthy() bool {
	if w.drivers.Load() > 0 || slices.ContainsFunc(w.names(), w.isChanging) {
		return false
	}
	view := w.newestView()
	for _, member := range view.Members {
		p := w.process(member.Node)
		fence := register.Fence{Epoch: view.Epoch, Replica: member.Incarnation}
		reply, err := p.replica.ReadTurns(context.Background(), fence, "none", 0, nil)
		if err != nil || reply.Refusal != register.RefusalNone {
			return false
		}
	}
	return true
}

func (w *modelRun) isChanging(node string) bool {
	return len(w.process(node).replica.Unfinished()) > 0
}

// maintain has each node do what its replica owes, as shard.Maintainer does: copy
// shards that it missed, maintain changes of epoch, and ask for a new epoch where
// it can't copy the shard any more.
func (w *modelRun) maintain(ctx context.Context) {
	unready := make(map[string]int)
	for ctx.Err() == nil {
		time.Sleep(300 * time.Millisecond)
		for _, node := range w.names() {
			p := w.process(node)
			if w.isChanging(node) {
				w.drive(node, nil, time.Second)
			}
			w.workers.Go(func() { p.installer.CatchUp(p.ctx) })
			if len(p.replica.Unready()) == 0 {
				unready[node] = 0
				continue
			}
			unready[node]++
			if unready[node] > 3 {
				w.startDriver(node, time.Second, func(ctx context.Context, driver *shard.Driver, view register.View) {
					_, _ = driver.Refresh(ctx, view)
				})
			}
		}
	}
}

// drive starts a driver at the node.
func (w *modelRun) drive(node string, wanted []register.Member, life time.Duration) {
	w.startDriver(node, life, func(ctx context.Context, driver *shard.Driver, view register.View) {
		_, _ = driver.Drive(ctx, view, wanted)
	})
}

// startDriver starts a driver at the node; it dies after the given time, and with the
// node's process.
func (w *modelRun) startDriver(node string, life time.Duration, work func(context.Context, *shard.Driver, register.View)) {
	p := w.process(node)
	view, found := p.views.View(0)
	if !found {
		return
	}
	random := rand.New(rand.NewPCG(uint64(w.randomInt(1000)), 2))
	driver := shard.NewDriver(p.member.Incarnation, link{w.network, node}, p.views, register.SystemClock{}, random, settings(), zap.NewNop())
	w.drivers.Add(1)
	w.workers.Go(func() {
		defer w.drivers.Add(-1)
		ctx, cancel := context.WithTimeout(p.ctx, life)
		defer cancel()
		work(ctx, driver, view)
	})
}

// eventKind is what happens to the system.
type eventKind int

const (
	// eventDrive starts a driver that dies soon.
	eventDrive eventKind = iota
	// eventDriveTwice starts two drivers of the same epoch.
	eventDriveTwice
	// eventRestart restarts a node that keeps its data.
	eventRestart
	// eventWipe restarts a node without its data, where the set survives it.
	eventWipe
	eventFreeze
	eventSweep
	eventKinds
)

// event is one step of a run, drawn ahead of it.
type event struct {
	kind        eventKind
	node, other int
	// members and others are permutations of the nodes.
	members, others []int
	length, pause   time.Duration
}

func drawEvents(t *rapid.T) []event {
	nodes := make([]int, modelNodes)
	for index := range nodes {
		nodes[index] = index
	}
	milliseconds := func(name string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(1, limit).Draw(t, name)) * time.Millisecond
	}
	events := make([]event, rapid.IntRange(1, modelEvents).Draw(t, "events"))
	for index := range events {
		events[index] = event{
			kind:    eventKind(rapid.IntRange(0, int(eventKinds)-1).Draw(t, "kind")),
			node:    rapid.IntRange(0, modelNodes-1).Draw(t, "node"),
			other:   rapid.IntRange(0, modelNodes-1).Draw(t, "other"),
			members: rapid.Permutation(nodes).Draw(t, "members"),
			others:  rapid.Permutation(nodes).Draw(t, "others"),
			length:  milliseconds("length", 600),
			pause:   milliseconds("pause", 300),
		}
	}
	return events
}

func (w *modelRun) membersOf(nodes []int) []register.Member {
	var members []register.Member
	for _, node := range nodes[:modelSetSize] {
		members = append(members, w.process(nodeName(node)).member)
	}
	return members
}

func nodeName(index int) string { return fmt.Sprintf("n%d", index) }

func (w *modelRun) applyEvent(happens event) {
	node := nodeName(happens.node)
	p := w.process(node)
	if w.isHealthy() {
		w.hasDataLoss = false
	}
	switch happens.kind {
	case eventDrive:
		w.drive(node, w.membersOf(happens.members), happens.length)
	case eventDriveTwice:
		w.drive(node, w.membersOf(happens.members), 2*time.Second)
		w.drive(nodeName(happens.other), w.membersOf(happens.others), 2*time.Second)
	case eventRestart:
		w.start(node, p.member.Zone, p)
	case eventWipe:
		if !w.hasDataLoss {
			w.hasDataLoss = true
			w.start(node, p.member.Zone, nil)
		}
	case eventFreeze:
		w.freeze(node, 3*happens.length)
	case eventSweep:
		w.workers.Go(func() { _ = p.installer.Sweep(p.ctx) })
	}
}

// gossip passes the open views between two nodes at a time.
func (w *modelRun) gossip(ctx context.Context, clients []*shard.Map) {
	for ctx.Err() == nil {
		names := w.names()
		left := w.process(names[w.randomInt(len(names))]).views
		right := w.process(names[w.randomInt(len(names))]).views
		maps := append([]*shard.Map{left, right}, clients[w.randomInt(len(clients))])
		for _, from := range maps {
			for _, view := range from.Views() {
				left.Learn(view)
				right.Learn(view)
			}
		}
		time.Sleep(40 * time.Millisecond)
	}
}

// run plays one world and returns what is wrong with it.
func (w *modelRun) run(events []event) error {
	var first register.View
	first.Epoch = shard.FirstEpoch
	for index := range modelNodes {
		p := w.start(nodeName(index), fmt.Sprintf("z%d", index%3), nil)
		if index < modelSetSize {
			first.Members = append(first.Members, p.member)
		}
	}
	for _, name := range w.names() {
		w.process(name).views.Learn(first)
	}
	ctx, cancel := context.WithCancel(context.Background())
	clients := make([]*shard.Map, modelClients)
	for number := range clients {
		clients[number] = shard.NewMap(1)
		clients[number].Learn(first)
		w.workers.Go(func() { w.runClient(ctx, number, clients[number]) })
	}
	gossiping, stopGossip := context.WithCancel(context.Background())
	w.workers.Go(func() { w.gossip(gossiping, clients) })
	w.workers.Go(func() { w.maintain(gossiping) })
	for _, happens := range events {
		w.applyEvent(happens)
		time.Sleep(happens.pause)
	}
	w.stopFaults()
	recovered := w.recover()
	cancel()
	stopGossip()
	w.workers.Wait()
	problem := recovered
	if problem == nil {
		problem = w.verify(clients[0])
	}
	// Requests that nobody waits for end before the virtual time does.
	time.Sleep(modelDrainTime)
	return problem
}

// recover drives the shard until a set of live members serves it.
func (w *modelRun) recover() error {
	for range recoveryRounds {
		time.Sleep(time.Second)
		if w.isHealthy() {
			return nil
		}
		var live []register.Member
		for node := range modelSetSize {
			live = append(live, w.process(nodeName(node)).member)
		}
		w.drive(nodeName(w.randomInt(modelNodes)), live, 10*time.Second)
	}
	return fmt.Errorf("the shard doesn't serve again, newest view %+v", w.newestView())
}

// verify reads every register and checks history and turns.
func (w *modelRun) verify(views *shard.Map) error {
	views.Learn(w.newestView())
	random := rand.New(rand.NewPCG(9, 9))
	reader := register.NewClient("reader", link{w.network, "reader"}, clientViews{views}, register.SystemClock{}, random, settings())
	for index := range modelKeys {
		if !w.apply(context.Background(), reader, modelClients, operationInput{key: key(index)}) {
			return fmt.Errorf("register %s can't be read", key(index))
		}
		final := w.history[len(w.history)-1].Output.(operationOutput).value
		if err := w.verifyTurns(key(index), final); err != nil {
			return err
		}
	}
	if result := porcupine.CheckOperationsTimeout(appendModel, w.history, time.Minute); result != porcupine.Ok {
		return fmt.Errorf("%d operations are not linearizable: %v", len(w.history), result)
	}
	return nil
}

// verifyTurns demands each turn that the value refers to from every majority.
func (w *modelRun) verifyTurns(program, value string) error {
	view := w.newestView()
	for tag := range strings.SplitAfterSeq(value, ".") {
		holders := 0
		for _, member := range view.Members {
			fence := register.Fence{Epoch: view.Epoch, Replica: member.Incarnation}
			_, err := w.process(member.Node).replica.ReadTurns(context.Background(), fence, program, 0, func(turn replica.Turn) error {
				if string(turn.Object) == tag {
					holders++
				}
				return nil
			})
			if err != nil {
				return err
			}
		}
		if tag != "" && holders < view.Quorum() {
			return fmt.Errorf("turn %s of %s has %d holders in epoch %d", tag, program, holders, view.Epoch)
		}
	}
	return nil
}

// TestReconfigurationModel runs clients, reconfigurations, two drivers, dying
// drivers, lost, doubled and overtaking messages, frozen nodes and restarts with
// and without memory, in virtual time.
func TestReconfigurationModel(t *testing.T) {
	operations, epochs := 0, uint64(0)
	rapid.Check(t, func(rt *rapid.T) {
		var problem error
		w := &modelRun{network: newNetwork(rapid.Uint64().Draw(rt, "seed"))}
		w.faultRate = float64(rapid.IntRange(0, 10).Draw(rt, "trouble")) / 100
		events := drawEvents(rt)
		bubble.Test(t, func(*testing.T) { problem = w.run(events) })
		operations += len(w.history)
		epochs += w.newestView().Epoch - shard.FirstEpoch
		assert.NilError(rt, problem)
	})
	t.Logf("%d operations, %d changes of epoch", operations, epochs)
	assert.Assert(t, operations > 0 && epochs > 0)
}
