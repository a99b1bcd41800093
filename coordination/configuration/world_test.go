package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
)

var errCut = errors.New("cut off")

// world is a model of many nodes, the store and the network between them. It
// runs the real Agent and Acceptor as coroutines that stop at every message, so
// that a test chooses the order of everything.
type world struct {
	now     time.Time
	store   *modelStore
	nodes   []*modelNode
	sets    ReplicaSets
	running *task
	tasks   []*task
	// cut holds the pairs of zones without a connection; the store's zone is "".
	cut map[[2]string]bool
	// messages counts requests between nodes.
	messages int
}

// task is one activity of a node.
type task struct {
	node   *modelNode
	resume func() (struct{}, bool)
	stop   func()
	yield  func(struct{}) bool
	ended  bool
}

type modelNode struct {
	world   *world
	self    Peer
	archive *memoryArchive
	agent   *Agent
	holder  *Holder
	ctx     context.Context
	cancel  context.CancelFunc
	starts  int
	// heard is the configuration version last heard of each node.
	heard map[string]uint64
	// sees are the nodes this one believes alive; nil means all.
	sees map[string]bool
}

type memoryArchive struct{ saved Update }

func (a *memoryArchive) Load() (Update, error)    { return a.saved, nil }
func (a *memoryArchive) Save(update Update) error { a.saved = update; return nil }

func newWorld(count, zones, withArchive int) *world {
	w := &world{now: time.Unix(1_000_000, 0), cut: make(map[[2]string]bool)}
	w.store = &modelStore{world: w, objects: make(map[Key]Object)}
	for index := range count {
		node := &modelNode{world: w, self: Peer{Member: Member{
			Node:    fmt.Sprintf("n%d", index),
			Address: fmt.Sprintf("10.0.%d.%d:7400", index/250, index%250+1),
			Zone:    fmt.Sprintf("z%d", index%zones),
		}}}
		if index < withArchive {
			node.archive = &memoryArchive{}
		}
		w.nodes = append(w.nodes, node)
		node.start()
	}
	return w
}

// modelSettings have no real time in them.
func modelSettings() Settings {
	return Settings{
		PeerTimeout: time.Hour, StoreTimeout: time.Hour, AcceptTimeout: time.Hour,
		Parallel: 1,
	}
}

// GoString is what rapid prints.
func (n *modelNode) GoString() string { return n.self.Node }

func (n *modelNode) start() {
	n.starts++
	n.self.Incarnation = n.self.Node + "/1"
	options := AgentOptions{
		Platform: storeHandle{n.world.store, n}, Peers: peerHandle{n}, Members: n,
		Logger: zap.NewNop(), Settings: modelSettings(),
		Random: rand.New(rand.NewPCG(uint64(n.starts), 7)),
		Now:    func() time.Time { return n.world.now },
	}
	if n.archive != nil {
		options.Archive = n.archive
	} else {
		n.self.Incarnation = fmt.Sprintf("%s/%d", n.self.Node, n.starts)
	}
	n.holder = NewHolder()
	options.Holder = n.holder
	n.heard = make(map[string]uint64)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	agent, err := NewAgent(options)
	if err != nil {
		panic(err)
	}
	n.agent = agent
}

// restart ends the node with everything it does and starts it again.
func (w *world) restart(n *modelNode) {
	n.cancel()
	for _, task := range w.tasks {
		if task.node == n {
			w.end(task)
		}
	}
	w.tasks = slices.DeleteFunc(w.tasks, func(task *task) bool { return task.node == n })
	n.start()
}

func (w *world) close() {
	for _, node := range w.nodes {
		node.cancel()
	}
	for _, task := range w.tasks {
		w.end(task)
	}
}

// end makes the task return from where it waits.
func (w *world) end(ending *task) {
	ending.ended = true
	w.running = ending
	ending.stop()
}

// spawn makes a coroutine of the activity.
func (w *world) spawn(node *modelNode, activity func()) {
	started := &task{node: node}
	started.resume, started.stop = iter.Pull(func(yield func(struct{}) bool) {
		started.yield = yield
		activity()
	})
	w.tasks = append(w.tasks, started)
}

// run resumes one task until its next message.
func (w *world) run(index int) {
	chosen := w.tasks[index]
	w.running = chosen
	if _, more := chosen.resume(); !more {
		w.tasks = slices.DeleteFunc(w.tasks, func(task *task) bool { return task == chosen })
	}
}

// pause lets other tasks run; it fails once the task's node is gone.
func (w *world) pause(ctx context.Context) error {
	self := w.running
	if self.ended || !self.yield(struct{}{}) {
		return context.Canceled
	}
	return ctx.Err()
}

func (w *world) connected(a, b string) bool { return !w.cut[[2]string{min(a, b), max(a, b)}] }

func (w *world) plan(n *modelNode) {
	for _, next := range n.agent.plan() {
		n.agent.start(n.ctx, func(activity func()) { w.spawn(n, activity) }, next)
	}
}

// gossip lets a node hear the version of another.
func (w *world) gossip(from, to *modelNode) {
	if w.connected(from.self.Zone, to.self.Zone) {
		to.heard[from.self.Node] = from.holder.Version()
	}
}

func (n *modelNode) Self() Peer { return n.self }

func (n *modelNode) Live() []Peer {
	var live []Peer
	for _, other := range n.world.nodes {
		if n.sees != nil && !n.sees[other.self.Node] || !n.world.connected(n.self.Zone, other.self.Zone) {
			continue
		}
		peer := other.self
		peer.Version = n.heard[peer.Node]
		live = append(live, peer)
	}
	return live
}

func (n *modelNode) ReplicaSets() ReplicaSets { return n.world.sets }

// peerHandle is a node's way to the others.
type peerHandle struct{ from *modelNode }

func (p peerHandle) reach(ctx context.Context, to Member) (*modelNode, error) {
	w := p.from.world
	w.messages++
	if err := w.pause(ctx); err != nil {
		return nil, err
	}
	index := slices.IndexFunc(w.nodes, func(node *modelNode) bool { return node.self.Address == to.Address })
	if !w.connected(p.from.self.Zone, to.Zone) {
		return nil, errCut
	}
	return w.nodes[index], nil
}

// back is the way of the answer, which a cut loses.
func (p peerHandle) back(ctx context.Context, to Member) error {
	if err := p.from.world.pause(ctx); err != nil {
		return err
	}
	if !p.from.world.connected(p.from.self.Zone, to.Zone) {
		return errCut
	}
	return nil
}

func (p peerHandle) Fetch(ctx context.Context, to Member, known uint64) (Update, error) {
	node, err := p.reach(ctx, to)
	if err != nil {
		return Update{}, err
	}
	update := node.agent.Fetch(known)
	return update, p.back(ctx, to)
}

func (p peerHandle) Install(ctx context.Context, to Member, update Update) (InstallResult, error) {
	node, err := p.reach(ctx, to)
	if err != nil {
		return InstallResult{}, err
	}
	answer, err := node.agent.Install(update)
	if err != nil {
		return answer, err
	}
	return answer, p.back(ctx, to)
}

// modelStore is the object API.
type modelStore struct {
	world     *world
	revision  uint64
	objects   map[Key]Object
	log       []Object
	compacted uint64
	down      bool
	// lose is how many of the next writes lose their answer.
	lose int
	// late are writes that are still on their way.
	late     []func()
	watchers int
	peak     int
	lists    int
}

// write changes an object without a condition.
func (s *modelStore) write(key Key, body json.RawMessage) Object {
	s.revision++
	object := Object{Key: key, Version: s.revision, Body: body, Deleted: IsTombstone(body)}
	s.objects[key] = object
	s.log = append(s.log, object)
	return object
}

func (s *modelStore) put(key Key, expected uint64, body json.RawMessage) (Object, error) {
	current := s.current(key)
	if Writer(current.Body).Includes(Writer(body).CommandID) {
		return current, nil
	}
	if current.Version != expected {
		return Object{}, &ConflictError{Current: current}
	}
	return s.write(key, body), nil
}

// erase removes an object without a tombstone.
func (s *modelStore) erase(key Key) {
	s.revision++
	delete(s.objects, key)
	s.log = append(s.log, Object{Key: key, Version: s.revision, Deleted: true})
}

func (s *modelStore) current(key Key) Object {
	if object, found := s.objects[key]; found {
		return object
	}
	return Object{Key: key, Deleted: true}
}

// storeHandle is a node's way to the store.
type storeHandle struct {
	store *modelStore
	from  *modelNode
}

func (h storeHandle) reachable() bool {
	return !h.store.down && h.store.world.connected(h.from.self.Zone, "")
}

func (h storeHandle) reach(ctx context.Context) error {
	if err := h.store.world.pause(ctx); err != nil {
		return err
	}
	if !h.reachable() {
		return ErrUnavailable
	}
	return nil
}

func (h storeHandle) Get(ctx context.Context, key Key) (Object, error) {
	if err := h.reach(ctx); err != nil {
		return Object{}, err
	}
	object := h.store.current(key)
	return object, h.reach(ctx)
}

func (h storeHandle) List(ctx context.Context) (Listing, error) {
	if err := h.reach(ctx); err != nil {
		return Listing{}, err
	}
	h.store.lists++
	listing := Listing{Revision: h.store.revision, Objects: slices.Collect(maps.Values(h.store.objects))}
	return listing, h.reach(ctx)
}

func (h storeHandle) Watch(ctx context.Context, from uint64, visit func(Event) error) error {
	if err := h.reach(ctx); err != nil {
		return err
	}
	h.store.watchers++
	h.store.peak = max(h.store.peak, h.store.watchers)
	defer func() { h.store.watchers-- }()
	for {
		if from < h.store.compacted || from > h.store.revision {
			return ErrTooOld
		}
		for _, object := range h.store.log {
			if object.Version <= from {
				continue
			}
			from = object.Version
			if err := visit(Event{Revision: object.Version, Object: &object}); err != nil {
				return err
			}
		}
		if err := h.reach(ctx); err != nil {
			return err
		}
	}
}

func (h storeHandle) Put(ctx context.Context, key Key, expected uint64, body json.RawMessage) (Object, error) {
	if err := h.reach(ctx); err != nil {
		return Object{}, err
	}
	if h.store.lose > 0 {
		h.store.lose--
		h.store.late = append(h.store.late, func() { _, _ = h.store.put(key, expected, body) })
		return Object{}, ErrUnresolved
	}
	written, err := h.store.put(key, expected, body)
	if err == nil && h.reach(ctx) != nil {
		return Object{}, ErrUnresolved
	}
	return written, err
}
