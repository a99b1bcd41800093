package shard_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
)

var errLost = errors.New("message lost")

// process is one run of a node.
type process struct {
	member    register.Member
	store     replica.Store
	views     *shard.Map
	replica   *shard.Replica
	installer *shard.Installer
	// ctx is cancelled when the process ends.
	ctx  context.Context
	kill context.CancelFunc
}

// network runs nodes in memory. Messages take random time, so that they overtake each other;
// some requests and replies are lost, and some requests are duplicated.
type network struct {
	mutex  sync.Mutex
	random *rand.Rand
	// instant makes messages take no time.
	instant bool
	// sealedAt is when the first member was asked to seal, openedAt when the first was asked to
	// open; pulledBytes counts the payload of all pulls.
	sealedAt, openedAt time.Time
	pulledBytes        int
	// faultRate is the probability that a message is lost, and that one is duplicated.
	faultRate float64
	processes map[string]*process
	// frozenUntil delays requests to a node and its replies until the given time.
	frozenUntil map[string]time.Time
	// copiesBeginAt delays the pulls of a node until the given time.
	copiesBeginAt map[string]time.Time
	incarnations  int
}

func newNetwork(seed uint64) *network {
	return &network{
		random:      rand.New(rand.NewPCG(seed, 0)),
		processes:   make(map[string]*process),
		frozenUntil: make(map[string]time.Time), copiesBeginAt: make(map[string]time.Time),
	}
}

// start starts a process of the node. With a kept process it has the same incarnation and data.
func (n *network) start(node, zone string, kept *process) *process {
	n.incarnations++
	next := &process{
		member: register.Member{Node: node, Incarnation: fmt.Sprintf("%s-%d", node, n.incarnations), Address: node, Zone: zone},
		store:  replica.NewMemory(),
		views:  shard.NewMap(1),
	}
	if kept != nil {
		next.member, next.store = kept.member, kept.store
	}
	next.ctx, next.kill = context.WithCancel(context.Background())
	next.replica = shard.NewReplica(next.member.Incarnation, next.store, next.views, func() uint64 { return 0 })
	next.installer = shard.NewInstaller(next.replica, link{n, node}, zap.NewNop())
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if previous := n.processes[node]; previous != nil {
		previous.kill()
	}
	n.processes[node] = next
	return next
}

func (n *network) process(node string) *process {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.processes[node]
}

func (n *network) names() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var names []string
	for name := range n.processes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// isDuplicated decides whether the next request arrives a second time.
func (n *network) isDuplicated() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.random.Float64() < n.faultRate
}

func (n *network) randomInt(count int) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.random.IntN(count)
}

func (n *network) freeze(node string, length time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.frozenUntil[node] = time.Now().Add(length)
}

// delayCopies makes the pulls of the node wait.
func (n *network) delayCopies(node string, length time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.copiesBeginAt[node] = time.Now().Add(length)
}

// awaitCopies waits until the node may pull.
func (n *network) awaitCopies(ctx context.Context, node string) error {
	n.mutex.Lock()
	wait := time.Until(n.copiesBeginAt[node])
	n.mutex.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stopFaults ends message loss, duplication and frozen nodes.
func (n *network) stopFaults() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.faultRate = 0
	clear(n.frozenUntil)
	clear(n.copiesBeginAt)
}

// transmit waits for the delay of one message, or until its nodes are no longer frozen.
func (n *network) transmit(ctx context.Context, nodes ...string) error {
	if n.instant {
		return ctx.Err()
	}
	n.mutex.Lock()
	delay := time.Duration(1+n.random.IntN(20_000)) * time.Microsecond
	isLost := n.random.Float64() < n.faultRate
	for _, node := range nodes {
		delay = max(delay, time.Until(n.frozenUntil[node]))
	}
	n.mutex.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	if isLost {
		return errLost
	}
	return nil
}

// link is the network as seen from one node.
type link struct {
	network *network
	node    string
}

var (
	_ shard.Members = link{}
	_ shard.Source  = link{}
)

// call delivers one request and its reply.
func call[Reply any](ctx context.Context, l link, to register.Member, handle func(context.Context, *process) Reply) (Reply, error) {
	var none Reply
	if err := l.network.transmit(ctx, l.node, to.Node); err != nil {
		return none, err
	}
	target := l.network.process(to.Address)
	if l.network.isDuplicated() {
		go func() {
			if l.network.transmit(target.ctx, to.Node) == nil {
				handle(target.ctx, target)
			}
		}()
	}
	reply := handle(target.ctx, target)
	if target.ctx.Err() != nil {
		return none, errLost
	}
	return reply, l.network.transmit(ctx, l.node, to.Node)
}

func (l link) Prepare(ctx context.Context, to register.Member, request register.PrepareRequest) (register.PrepareReply, error) {
	return call(ctx, l, to, func(ctx context.Context, p *process) register.PrepareReply { return p.replica.Prepare(ctx, request) })
}

func (l link) Accept(ctx context.Context, to register.Member, request register.AcceptRequest) (register.AcceptReply, error) {
	return call(ctx, l, to, func(ctx context.Context, p *process) register.AcceptReply { return p.replica.Accept(ctx, request) })
}

func (l link) PutTurn(ctx context.Context, to register.Member, fence register.Fence, turn replica.Turn) (archive.Reply, error) {
	return call(ctx, l, to, func(ctx context.Context, p *process) archive.Reply { return p.replica.PutTurn(ctx, fence, turn) })
}

func (l link) Seal(ctx context.Context, to register.Member, request shard.SealRequest) (archive.Reply, error) {
	l.network.recordFirst(&l.network.sealedAt)
	return call(ctx, l, to, func(ctx context.Context, p *process) archive.Reply { return p.replica.Seal(ctx, request) })
}

func (l link) Install(ctx context.Context, to register.Member, request shard.InstallRequest) (archive.Reply, error) {
	return call(ctx, l, to, func(ctx context.Context, p *process) archive.Reply { return p.installer.Install(ctx, request) })
}

func (l link) Open(ctx context.Context, to register.Member, request shard.OpenRequest) (archive.Reply, error) {
	l.network.recordFirst(&l.network.openedAt)
	return call(ctx, l, to, func(ctx context.Context, p *process) archive.Reply { return p.replica.Open(ctx, request) })
}

// recordFirst sets the time if it isn't set.
func (n *network) recordFirst(moment *time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if moment.IsZero() {
		*moment = time.Now()
	}
}

func (n *network) countBytes(items []shard.PullItem) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, item := range items {
		if item.Register != nil {
			n.pulledBytes += len(item.Register.Key) + len(item.Register.State.Value)
		}
		if item.Turn != nil {
			n.pulledBytes += len(item.Turn.Program) + len(item.Turn.Digest) + len(item.Turn.Object)
		}
	}
}

// pullResult is everything that one pull returned.
type pullResult struct {
	reply archive.Reply
	items []shard.PullItem
	err   error
}

func (l link) Pull(ctx context.Context, to register.Member, request shard.PullRequest, visit func(shard.PullItem) error) (archive.Reply, error) {
	if err := l.network.awaitCopies(ctx, l.node); err != nil {
		return archive.Reply{}, err
	}
	result, err := call(ctx, l, to, func(ctx context.Context, p *process) (result pullResult) {
		result.reply, result.err = p.replica.Pull(ctx, request, func(item shard.PullItem) error {
			result.items = append(result.items, item)
			return nil
		})
		return result
	})
	if err = errors.Join(err, result.err); err != nil {
		return archive.Reply{}, err
	}
	l.network.countBytes(result.items)
	for _, item := range result.items {
		if err := visit(item); err != nil {
			return archive.Reply{}, err
		}
	}
	return result.reply, nil
}
