package membership_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/poll"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/membership"
)

// network delivers exchanges between the services of one process.
type network struct {
	mutex    sync.Mutex
	services map[string]*membership.Service
}

func (n *network) Exchange(ctx context.Context, address string, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	n.mutex.Lock()
	service := n.services[address]
	n.mutex.Unlock()
	if service == nil {
		return nil, errors.New("connection refused: " + address)
	}
	return service.Exchange(ctx, request)
}

func (n *network) remove(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.services, address)
}

// views is a fake of membership.ShardViews with a single view.
type views struct {
	mutex sync.Mutex
	epoch uint64
}

func (v *views) Digest() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.epoch
}

func (v *views) Outgoing(int) []*peerv1.ShardView {
	return []*peerv1.ShardView{{Shard: 1, Epoch: v.Digest()}}
}

func (v *views) Merge(received []*peerv1.ShardView) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.epoch = max(v.epoch, received[0].GetEpoch())
}

type runningNode struct {
	service *membership.Service
	shards  *views
	address string
	stop    context.CancelFunc
	done    chan struct{}
}

func startNode(t *testing.T, network *network, number int, seen func(string, uint64)) *runningNode {
	address := fmt.Sprintf("node-%d:1", number)
	node := &runningNode{shards: &views{epoch: uint64(number)}, address: address, done: make(chan struct{})}
	gossip := membership.New(membership.Settings{}, membership.Identity{
		Node:        fmt.Sprintf("node-%d", number),
		Incarnation: fmt.Sprintf("life-%d", number),
		Address:     address,
		Zone:        fmt.Sprintf("zone-%d", number),
		Started:     time.Now(),
	}, []string{"node-0:1"}, rand.New(rand.NewPCG(1, uint64(number))), time.Now())
	node.service = membership.NewService(gossip, membership.Options{
		Exchanger:            network,
		Now:                  time.Now,
		Logger:               zap.NewNop(),
		Shards:               node.shards,
		ConfigurationVersion: func() uint64 { return uint64(number) },
		OnNewerConfiguration: seen,
	})
	network.mutex.Lock()
	network.services[address] = node.service
	network.mutex.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	node.stop = cancel
	go func() {
		defer close(node.done)
		_ = node.service.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-node.done
	})
	return node
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
}

func TestServicesJoinAndDepart(t *testing.T) {
	net := &network{services: map[string]*membership.Service{}}
	var mutex sync.Mutex
	var newest uint64
	seen := func(_ string, version uint64) {
		mutex.Lock()
		defer mutex.Unlock()
		newest = max(newest, version)
	}
	nodes := []*runningNode{startNode(t, net, 0, seen), startNode(t, net, 1, seen), startNode(t, net, 2, seen)}
	waitFor(t, "all nodes know each other", func() bool {
		for _, node := range nodes {
			if len(node.service.Members().Live()) != len(nodes) {
				return false
			}
		}
		return true
	})
	waitFor(t, "the newest shard view and configuration version are known", func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return nodes[0].shards.Digest() == 2 && nodes[1].shards.Digest() == 2 && newest == 2
	})
	nodes[2].service.SetLeaving(true)
	waitFor(t, "the leaving mark is known", func() bool {
		member, _ := nodes[0].service.Members().Node("node-2")
		return member.Leaving
	})
	nodes[2].stop()
	<-nodes[2].done
	net.remove(nodes[2].address)
	waitFor(t, "the departure is known", func() bool {
		return nodes[0].service.Members().Gone("life-2") && nodes[1].service.Members().Gone("life-2")
	})
}

func Example() {
	now := time.UnixMilli(0)
	start := func(name string, seed uint64) *membership.Gossip {
		identity := membership.Identity{
			Node:        name,
			Incarnation: name + "-life-1",
			Address:     name + ":7070",
			Zone:        "zone-of-" + name,
			Started:     now,
		}
		random := rand.New(rand.NewPCG(seed, 0))
		return membership.New(membership.Settings{}, identity, []string{"a:7070"}, random, now)
	}
	a, b := start("a", 1), start("b", 2)

	// b knows only a's address. The caller transports the messages.
	for _, exchange := range b.Step(now) {
		response := a.HandleRequest(now, exchange.Request)
		b.HandleOutcome(now, exchange, response)
	}
	for _, member := range b.Members().Live() {
		fmt.Println(member.Node, member.Zone, member.State)
	}
	// Output:
	// a zone-of-a alive
	// b zone-of-b alive
}
