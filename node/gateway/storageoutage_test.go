package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/test/bubble"
)

// dialTimeout is the time after which a connection to a node that is down fails.
const dialTimeout = 700 * time.Millisecond

// unreachableNetwork is a network whose storage nodes can all go down at once: pending calls
// then get no answer, and new calls fail to connect.
type unreachableNetwork struct {
	*fakeNetwork
	mutex sync.Mutex
	down  bool
}

func (n *unreachableNetwork) WatchMirror(ctx context.Context, address netip.AddrPort, kind string, revision int64, wait time.Duration) (mirror.WatchAnswer, error) {
	if n.isDown() {
		if err := sleep.For(ctx, dialTimeout); err != nil {
			return nil, err
		}
		return nil, errNoConnection
	}
	answer, err := n.fakeNetwork.WatchMirror(ctx, address, kind, revision, wait)
	if n.isDown() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return answer, err
}

var errNoConnection = errors.New("cannot connect")

func (n *unreachableNetwork) isDown() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.down
}

func (n *unreachableNetwork) setDown(down bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.down = down
}

// applyTimes records when a gateway first applied each object.
type applyTimes struct {
	mutex sync.Mutex
	first map[string]time.Time
}

func (a *applyTimes) apply(snapshot follow.Snapshot) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, object := range snapshot.Objects {
		if _, known := a.first[object.Name]; !known {
			a.first[object.Name] = time.Now()
		}
	}
}

// appliedAt returns when the object was first applied, or the current time if it was not.
func (a *applyTimes) appliedAt(name string) time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if at, applied := a.first[name]; applied {
		return at
	}
	return time.Now()
}

const (
	outageGateways = 20
	outageDuration = 12 * time.Second
	// changeInterval is the interval between changes in the store.
	changeInterval = 250 * time.Millisecond
)

// TestChangesAreInTimeWhileStorageNodesAreDown guards against gateways that wait for the fallback
// delay before each call while all storage nodes are down and the store is healthy.
func TestChangesAreInTimeWhileStorageNodesAreDown(t *testing.T) {
	for _, limits := range []settings.Gateway{
		{UndisturbedTime: 3 * time.Second, ApplyLimit: 2 * time.Second},
		{UndisturbedTime: 4 * time.Second, ApplyLimit: 3 * time.Second},
		{UndisturbedTime: 5 * time.Second, ApplyLimit: 4 * time.Second},
	} {
		t.Run(fmt.Sprint(limits.UndisturbedTime), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) { testStorageOutage(t, limits) })
		})
	}
}

func testStorageOutage(t *testing.T, limits settings.Gateway) {
	ctx, cancel := context.WithCancel(t.Context())
	fleet := &testFleet{store: newFakeStore(), network: &fakeNetwork{holders: make(map[netip.AddrPort]*mirror.Holder)}}
	fleet.store.add("first")
	fleet.members = []register.Member{
		{Node: "storage-0", Zone: "zone-0", Address: "10.0.0.1:1"},
		{Node: "storage-1", Zone: "zone-1", Address: "10.0.0.2:1"},
		{Node: "storage-2", Zone: "zone-2", Address: "10.0.0.3:1"},
	}
	for _, member := range fleet.members {
		fleet.startHolder(ctx, t, member)
	}
	network := &unreachableNetwork{fakeNetwork: fleet.network}
	var gateways []*applyTimes
	for index := range outageGateways {
		gateways = append(gateways, fleet.startRecordingGateway(ctx, network, fmt.Sprint("edge-", index), limits))
	}
	time.Sleep(5 * time.Second)
	network.setDown(true)
	outageStart := time.Now()
	acknowledgedAt := make(map[string]time.Time)
	for index := 0; time.Since(outageStart) < outageDuration; index++ {
		name := fmt.Sprint("route-", index)
		fleet.store.add(name)
		acknowledgedAt[name] = time.Now()
		time.Sleep(changeInterval)
	}
	network.setDown(false)
	time.Sleep(limits.ApplyLimit)
	synctest.Wait()
	late, latest := 0, time.Duration(0)
	for name, acknowledged := range acknowledgedAt {
		due := acknowledged.Add(limits.ApplyLimit)
		if bindsAt := outageStart.Add(limits.UndisturbedTime); due.Before(bindsAt) {
			due = bindsAt
		}
		for _, gateway := range gateways {
			if by := gateway.appliedAt(name).Sub(due); by > 0 {
				late, latest = late+1, max(latest, by)
			}
		}
	}
	t.Logf("%d calls of gateways to the store", fleet.store.callCount("gateway"))
	assert.Assert(t, late == 0, "%d of %d changes were late at a gateway, by %s at most", late, len(acknowledgedAt)*len(gateways), latest)
	cancel()
	synctest.Wait()
}

// startRecordingGateway starts a gateway that records when it applies each object.
func (f *testFleet) startRecordingGateway(ctx context.Context, network mirror.Watcher, name string, limits settings.Gateway) *applyTimes {
	times := &applyTimes{first: make(map[string]time.Time)}
	holders := mirror.NewHolderSelector(func() []netip.AddrPort { return mirror.OrderByZone("zone-0", name, f.members) }, time.Now)
	follower := follow.New(follow.Options{
		Name: mirror.KindInstances, Settings: callSettings(limits), Logger: zap.NewNop(), Now: time.Now, Apply: times.apply,
		Source: mirror.NewSource(mirror.KindInstances, roleSource{store: f.store, role: "gateway"}, holders, network, holderSettings(limits), zap.NewNop()),
	})
	go func() { _ = follower.Serve(ctx) }()
	return times
}
