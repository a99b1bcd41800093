package turnstore_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/antientropy"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/expiry"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
)

const (
	chainShards = 3
	chainZones  = 4
	// collectInterval is the time between two collections of a node.
	collectInterval = 20 * time.Second
)

var errMessageLost = errors.New("message lost")

// chainNode is a storage node in memory.
type chainNode struct {
	member    register.Member
	disk      *replica.Memory
	store     *expiry.Store
	views     *shard.Map
	replica   *shard.Replica
	installer *shard.Installer
	entropy   *antientropy.Service
	// isCut is set while no message reaches the node.
	isCut bool
}

// chainCluster runs storage nodes in virtual time. It implements turnstore.Replicas,
// shard.Members and shard.Source.
type chainCluster struct {
	t     testing.TB
	views views

	mutex  sync.Mutex
	random *rand.Rand
	// lossRate is the probability that a request or its reply is lost.
	lossRate float64
	// nodes are the nodes by address, which is the name of the node.
	nodes        map[string]*chainNode
	incarnations int
	collected    time.Time
	// completesChains is set if nodes fetch the ancestors that they lack.
	completesChains bool
}

var _ shard.Members = (*chainCluster)(nil)

// newChainCluster starts a node in each zone, and replica sets of three nodes.
func newChainCluster(t testing.TB, seed uint64) *chainCluster {
	c := &chainCluster{
		t: t, views: views{shard.NewMap(chainShards)}, random: rand.New(rand.NewPCG(seed, 0)), nodes: make(map[string]*chainNode), collected: time.Now(),
	}
	var members []register.Member
	for zone := range chainZones {
		members = append(members, c.start(fmt.Sprint("n", zone), fmt.Sprint("z", zone), nil).member)
	}
	for number := range uint32(chainShards) {
		view := register.View{Shard: number, Epoch: shard.FirstEpoch}
		for position := range 3 {
			view.Members = append(view.Members, members[(int(number)+position)%chainZones])
		}
		c.learn(view)
	}
	return c
}

// start starts a node, with the data and the incarnation of the kept one unless it is nil.
func (c *chainCluster) start(name, zone string, kept *chainNode) *chainNode {
	c.incarnations++
	started := &chainNode{
		member: register.Member{Node: name, Address: name, Zone: zone, Incarnation: fmt.Sprintf("%s-%d", name, c.incarnations)},
		disk:   replica.NewMemory(), views: shard.NewMap(chainShards),
	}
	if kept != nil {
		started.member, started.disk = kept.member, kept.disk
	}
	var err error
	started.store, err = expiry.NewStore(expiry.Options{Store: started.disk, Shards: started.views.Count, Now: time.Now, Logger: zap.NewNop()})
	assert.NilError(c.t, err)
	started.replica = shard.NewReplica(started.member.Incarnation, started.store, started.views, func() uint64 { return 0 })
	started.installer = shard.NewInstaller(started.replica, c, zap.NewNop())
	assert.NilError(c.t, started.replica.Restore())
	started.entropy, err = antientropy.New(antientropy.Options{
		Incarnation: started.member.Incarnation, Chains: started.store, Writer: started.replica, Reader: nodeLink{c, started},
		Views: started.views, Now: time.Now, Logger: zap.NewNop(),
	})
	assert.NilError(c.t, err)
	for _, view := range c.views.Views() {
		started.views.Learn(view)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nodes[name] = started
	return started
}

// learn makes an open view known to the gateways and to all nodes that aren't cut off.
func (c *chainCluster) learn(view register.View) {
	c.views.Learn(view)
	for _, node := range c.all() {
		if !node.isCut {
			node.views.Learn(view)
		}
	}
}

func (c *chainCluster) all() []*chainNode {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var all []*chainNode
	for _, node := range c.nodes {
		all = append(all, node)
	}
	slices.SortFunc(all, func(a, b *chainNode) int { return strings.Compare(a.member.Node, b.member.Node) })
	return all
}

// setCut cuts a node off, or connects it again.
func (c *chainCluster) setCut(node *chainNode, isCut bool) {
	c.mutex.Lock()
	node.isCut = isCut
	c.mutex.Unlock()
	for _, view := range c.views.Views() {
		c.learn(view)
	}
}

// remove removes a node for good.
func (c *chainCluster) remove(node *chainNode) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.nodes, node.member.Node)
}

// replace replaces a member by another one in all replica sets.
func (c *chainCluster) replace(gone register.Member, by func(view register.View) register.Member) {
	for _, view := range c.views.Views() {
		index := slices.Index(view.Members, gone)
		if index < 0 {
			continue
		}
		wanted := slices.Clone(view.Members)
		wanted[index] = by(view)
		driver := shard.NewDriver("driver/"+fmt.Sprint(c.draw(1<<30)), c, c.views.Map, register.SystemClock{},
			rand.New(rand.NewPCG(uint64(c.draw(1<<30)), 0)), register.DefaultSettings(), zap.NewNop())
		for try := 0; ; try++ {
			current, _ := c.views.View(view.Shard)
			ctx, cancel := context.WithTimeout(c.t.Context(), time.Minute)
			opened, err := driver.Drive(ctx, current, wanted)
			cancel()
			if err == nil {
				c.learn(opened)
			}
			if err == nil && !slices.Contains(opened.Members, gone) {
				break
			}
			assert.Assert(c.t, try < 20, "shard %d isn't moved: %v", view.Shard, err)
		}
	}
	c.awaitCopies()
}

// awaitCopies waits until each member of each replica set holds its data.
func (c *chainCluster) awaitCopies() {
	for try := 0; ; try++ {
		areHeld := true
		for _, node := range c.all() {
			node.installer.CatchUp(c.t.Context())
		}
		for _, view := range c.views.Views() {
			areHeld = areHeld && c.all()[0].installer.AllHold(c.t.Context(), view)
		}
		if areHeld {
			return
		}
		assert.Assert(c.t, try < 100, "a replica set isn't whole")
	}
}

// pass lets time pass, in which each node collects at its interval.
func (c *chainCluster) pass(duration time.Duration) {
	for end := time.Now().Add(duration); ; {
		next := c.collected.Add(collectInterval)
		if next.After(end) {
			time.Sleep(time.Until(end))
			return
		}
		time.Sleep(time.Until(next))
		c.collected = next
		for _, node := range c.all() {
			assert.NilError(c.t, node.store.Collect(c.t.Context()))
		}
		for _, node := range c.all() {
			if c.completesChains {
				node.entropy.Round(c.t.Context())
			}
		}
	}
}

// storedTurns returns the number of turns on all disks.
func (c *chainCluster) storedTurns() int {
	count := 0
	for _, node := range c.all() {
		for number := range uint32(chainShards) {
			assert.NilError(c.t, node.disk.EachTurnKey(number, func(replica.Turn) error { count++; return nil }))
		}
	}
	return count
}

func (c *chainCluster) draw(bound int) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.random.IntN(bound)
}

// target returns the member's node if a message reaches it.
func (c *chainCluster) target(member register.Member) (*chainNode, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	node := c.nodes[member.Address]
	if node == nil || node.isCut || c.random.Float64() < c.lossRate {
		return nil, errMessageLost
	}
	return node, nil
}

// nodeLink is the cluster as seen by a node.
type nodeLink struct {
	*chainCluster
	from *chainNode
}

func (l nodeLink) ReadMany(ctx context.Context, member register.Member, fence register.Fence, ids []string) ([]replica.Turn, archive.Reply, error) {
	l.mutex.Lock()
	isCut := l.from.isCut
	l.mutex.Unlock()
	if isCut {
		return nil, archive.Reply{}, errMessageLost
	}
	return l.chainCluster.ReadMany(ctx, member, fence, ids)
}

// zoneLink is the cluster as seen by a gateway in a zone. It counts what the gateway sends.
type zoneLink struct {
	*chainCluster
	zone string
	// messages are the requests, crossing the bytes of turns between zones.
	messages, crossing *atomic.Int64
}

func newZoneLink(c *chainCluster, zone string) zoneLink {
	return zoneLink{chainCluster: c, zone: zone, messages: &atomic.Int64{}, crossing: &atomic.Int64{}}
}

func (l zoneLink) count(member register.Member, turns ...replica.Turn) {
	l.messages.Add(1)
	for _, turn := range turns {
		if member.Zone != l.zone {
			l.crossing.Add(int64(len(turn.Object)))
		}
	}
}

func (l zoneLink) PutTurn(ctx context.Context, member register.Member, fence register.Fence, turn replica.Turn) (archive.Reply, error) {
	l.count(member, turn)
	return l.chainCluster.PutTurn(ctx, member, fence, turn)
}

func (l zoneLink) ReadMany(ctx context.Context, member register.Member, fence register.Fence, ids []string) ([]replica.Turn, archive.Reply, error) {
	turns, reply, err := l.chainCluster.ReadMany(ctx, member, fence, ids)
	l.count(member, turns...)
	return turns, reply, err
}

// ask delivers one request and its reply.
func ask[Reply any](c *chainCluster, member register.Member, handle func(*chainNode) Reply) (reply Reply, err error) {
	node, err := c.target(member)
	if err != nil {
		return reply, err
	}
	reply = handle(node)
	_, err = c.target(member)
	return reply, err
}

func (c *chainCluster) PutTurn(ctx context.Context, member register.Member, fence register.Fence, turn replica.Turn) (archive.Reply, error) {
	return ask(c, member, func(node *chainNode) archive.Reply { return node.replica.PutTurn(ctx, fence, turn) })
}

func (c *chainCluster) ReadMany(ctx context.Context, member register.Member, fence register.Fence, ids []string) ([]replica.Turn, archive.Reply, error) {
	var found []replica.Turn
	reply, err := ask(c, member, func(node *chainNode) (reply archive.Reply) {
		for _, id := range ids {
			var err error
			reply, err = node.replica.ReadTurns(ctx, fence, id, 0, func(turn replica.Turn) error {
				found = append(found, turn)
				return nil
			})
			assert.NilError(c.t, err)
		}
		return reply
	})
	return found, reply, err
}

func (c *chainCluster) Prepare(ctx context.Context, member register.Member, request register.PrepareRequest) (register.PrepareReply, error) {
	return ask(c, member, func(node *chainNode) register.PrepareReply { return node.replica.Prepare(ctx, request) })
}

func (c *chainCluster) Accept(ctx context.Context, member register.Member, request register.AcceptRequest) (register.AcceptReply, error) {
	return ask(c, member, func(node *chainNode) register.AcceptReply { return node.replica.Accept(ctx, request) })
}

func (c *chainCluster) Seal(ctx context.Context, member register.Member, request shard.SealRequest) (archive.Reply, error) {
	return ask(c, member, func(node *chainNode) archive.Reply { return node.replica.Seal(ctx, request) })
}

func (c *chainCluster) Open(ctx context.Context, member register.Member, request shard.OpenRequest) (archive.Reply, error) {
	return ask(c, member, func(node *chainNode) archive.Reply { return node.replica.Open(ctx, request) })
}

func (c *chainCluster) Install(ctx context.Context, member register.Member, request shard.InstallRequest) (archive.Reply, error) {
	return ask(c, member, func(node *chainNode) archive.Reply { return node.installer.Install(ctx, request) })
}

func (c *chainCluster) Pull(ctx context.Context, member register.Member, request shard.PullRequest, visit func(shard.PullItem) error) (archive.Reply, error) {
	var items []shard.PullItem
	reply, err := ask(c, member, func(node *chainNode) archive.Reply {
		reply, err := node.replica.Pull(ctx, request, func(item shard.PullItem) error {
			items = append(items, item)
			return nil
		})
		assert.NilError(c.t, err)
		return reply
	})
	for _, item := range items {
		if err != nil {
			break
		}
		err = visit(item)
	}
	return reply, err
}
