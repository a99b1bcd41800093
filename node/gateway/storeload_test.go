package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
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
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/test/bubble"
)

// fakeStore is a store with one kind of object. It counts the calls of storage nodes and of
// gateways.
type fakeStore struct {
	mutex        sync.Mutex
	objects      []follow.Object
	revision     int64
	changed      chan struct{}
	unresponsive bool
	calls        map[string]int
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, changed: make(chan struct{}), calls: make(map[string]int)}
}

// add adds an object and completes waiting watch calls.
func (s *fakeStore) add(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.objects = append(s.objects, follow.Object{Name: name, Revision: s.revision, Spec: []byte(`{}`)})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setUnresponsive(unresponsive bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unresponsive = unresponsive
}

func (s *fakeStore) callCount(role string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[role]
}

// changesAfter returns the objects that are newer than the revision.
func (s *fakeStore) changesAfter(from int64) (found []follow.Object, at int64, changed chan struct{}, unresponsive bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, object := range s.objects {
		if object.Revision > from {
			found = append(found, object)
		}
	}
	return found, s.revision, s.changed, s.unresponsive
}

// roleSource is a follow.Source whose calls are counted for a role.
type roleSource struct {
	store *fakeStore
	role  string
	// empty hides all objects, as for a kind without objects in a store whose revision
	// increases.
	empty bool
}

func (s roleSource) countCall() {
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	s.store.calls[s.role]++
}

func (s roleSource) changesAfter(from int64) (found []follow.Object, at int64, changed chan struct{}, unresponsive bool) {
	found, at, changed, unresponsive = s.store.changesAfter(from)
	if s.empty {
		found = nil
	}
	return found, at, changed, unresponsive
}

func (s roleSource) List(ctx context.Context) (follow.Snapshot, error) {
	s.countCall()
	found, at, _, unresponsive := s.changesAfter(0)
	if unresponsive {
		<-ctx.Done()
		return follow.Snapshot{}, ctx.Err()
	}
	return follow.Snapshot{Objects: found, At: at}, nil
}

func (s roleSource) Watch(ctx context.Context, from int64, wait time.Duration) (follow.Changes, error) {
	s.countCall()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, at, changed, unresponsive := s.changesAfter(from)
		if len(found) > 0 && !unresponsive {
			changes := follow.Changes{At: at}
			for _, object := range found {
				changes.Events = append(changes.Events, follow.Event{Object: object})
			}
			return changes, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if !unresponsive {
				return follow.Changes{At: at}, nil
			}
			<-ctx.Done()
			return follow.Changes{}, ctx.Err()
		case <-ctx.Done():
			return follow.Changes{}, ctx.Err()
		}
	}
}

// fakeNetwork is a mirror.Watcher that calls the started holders.
type fakeNetwork struct {
	mutex   sync.Mutex
	holders map[netip.AddrPort]*mirror.Holder
}

var errRefused = errors.New("connection refused")

func (n *fakeNetwork) WatchMirror(ctx context.Context, address netip.AddrPort, kind string, revision int64, wait time.Duration) (mirror.WatchAnswer, error) {
	if err := sleep.For(ctx, fleetRoundTrip); err != nil {
		return nil, err
	}
	n.mutex.Lock()
	holder := n.holders[address]
	n.mutex.Unlock()
	if holder == nil {
		return nil, errRefused
	}
	return holder.Watch(ctx, kind, revision, wait), nil
}

func (n *fakeNetwork) addHolder(address netip.AddrPort, holder *mirror.Holder) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.holders[address] = holder
}

// testFleet has storage nodes in five zones and many gateways, which all start at once.
type testFleet struct {
	store   *fakeStore
	network *fakeNetwork
	members []register.Member
	// Numbers of gateways that received any object, and lateObject.
	gatewaysWithObjects, gatewaysWithLateObject atomic.Int64
}

// lateObject is the object that is added while the store does not respond.
const lateObject = "late"

// holderKinds are the kinds of objects that storage nodes follow.
var holderKinds = []string{
	mirror.KindConfiguration, mirror.KindInstances, mirror.KindReplicaSets, mirror.KindNodes, mirror.KindRetirements,
}

const (
	fleetStorageNodes = 36
	fleetZones        = 5
	fleetApplyLimit   = 4 * time.Second
	// fleetRoundTrip is the round-trip time between nodes.
	fleetRoundTrip = time.Millisecond
	// storeReaderStartDelay delays the storage nodes that ask the store directly.
	storeReaderStartDelay = 300 * time.Millisecond
)

func (f *testFleet) start(ctx context.Context, t *testing.T, gateways int) {
	t.Helper()
	for index := range fleetStorageNodes {
		f.members = append(f.members, register.Member{
			Node: fmt.Sprintf("storage-%02d", index), Zone: fmt.Sprintf("zone-%d", index%fleetZones),
			Address: fmt.Sprintf("10.0.0.%d:1", index+1),
		})
	}
	for _, member := range f.members {
		f.startHolder(ctx, t, member)
	}
	for index := range gateways {
		f.startGateway(ctx, fmt.Sprintf("edge-%d", index), fmt.Sprintf("zone-%d", index%fleetZones))
	}
}

func (f *testFleet) startHolder(ctx context.Context, t *testing.T, self register.Member) {
	t.Helper()
	holder, err := mirror.NewHolder(mirror.PersistedKinds(), replica.NewMemory(), time.Now, zap.NewNop())
	assert.NilError(t, err)
	upstreams := mirror.NewHolderSelector(func() []netip.AddrPort { return mirror.Upstreams(self, f.members, nil) }, time.Now)
	for _, kind := range holderKinds {
		f.startHolderFollower(ctx, kind, holder, upstreams)
	}
	// Nodes that ask the store directly start last, as seeds do.
	delay := time.Duration(0)
	if len(mirror.Upstreams(self, f.members, nil)) == 0 {
		delay = storeReaderStartDelay
	}
	time.AfterFunc(delay, func() {
		f.network.addHolder(netip.MustParseAddrPort(self.Address), holder)
	})
}

// startHolderFollower starts a follower of one kind for a storage node. It asks upstreams,
// or the store if there are none.
func (f *testFleet) startHolderFollower(ctx context.Context, kind string, holder *mirror.Holder, upstreams *mirror.HolderSelector) {
	sourceSettings := mirror.SourceSettings{
		HolderWait: 300 * time.Millisecond, MaxHolderAge: fleetApplyLimit,
		FallbackDelays: mirror.FallbackDelays{HoldersUnreachable: time.Second, StoreLost: 2 * time.Second},
	}
	calls := follow.DefaultSettings()
	calls.ListTimeout, calls.WatchWait, calls.WatchGrace = time.Second, 3300*time.Millisecond, 400*time.Millisecond
	follower := follow.New(follow.Options{
		Name: kind, Settings: calls, Logger: zap.NewNop(), Now: time.Now,
		Source: mirror.NewSource(kind, roleSource{store: f.store, role: "storage", empty: kind != mirror.KindInstances}, upstreams, f.network, sourceSettings, zap.NewNop()),
		Apply:  func(snapshot follow.Snapshot) { holder.Update(kind, snapshot) },
		OnLost: func() { holder.NotifyLost(kind) },
	})
	holder.SetUpstream(kind, follower)
	go func() { _ = follower.Serve(ctx) }()
}

// gatewayLimits returns the settings of the gateways.
func (f *testFleet) gatewayLimits() settings.Gateway {
	return settings.Gateway{ApplyLimit: fleetApplyLimit, UndisturbedTime: 5 * time.Second}
}

func (f *testFleet) startGateway(ctx context.Context, name, zone string) {
	holders := mirror.NewHolderSelector(func() []netip.AddrPort { return mirror.OrderByZone(zone, name, f.members) }, time.Now)
	limits := f.gatewayLimits()
	var received, receivedLate sync.Once
	follower := follow.New(follow.Options{
		Name: mirror.KindInstances, Settings: callSettings(limits), Logger: zap.NewNop(), Now: time.Now,
		Source: mirror.NewSource(mirror.KindInstances, roleSource{store: f.store, role: "gateway"}, holders, f.network, holderSettings(limits), zap.NewNop()),
		Apply: func(snapshot follow.Snapshot) {
			if len(snapshot.Objects) > 0 {
				received.Do(func() { f.gatewaysWithObjects.Add(1) })
			}
			for _, object := range snapshot.Objects {
				if object.Name == lateObject {
					receivedLate.Do(func() { f.gatewaysWithLateObject.Add(1) })
				}
			}
		},
	})
	go func() { _ = follower.Serve(ctx) }()
}

// recoveryTime is the time after an outage of the store within which every gateway must
// have received the changes: the shortest undisturbed time of a deployment.
const recoveryTime = 3 * time.Second

// TestStoreLoadIsIndependentOfGatewayCount guards against gateways that overload the store when
// they start, instances register or an outage occurs, and against late changes after it.
func TestStoreLoadIsIndependentOfGatewayCount(t *testing.T) {
	for name, c := range map[string]struct {
		gateways int
		outage   time.Duration
		// Limits of the calls of gateways, and of storage nodes for all kinds.
		maxGatewayCalls, maxStorageNodeCalls int
	}{
		"hundred":     {gateways: 100, outage: 4500 * time.Millisecond, maxStorageNodeCalls: 240},
		"thousand":    {gateways: 1000, outage: 4500 * time.Millisecond, maxStorageNodeCalls: 240},
		"long outage": {gateways: 100, outage: 12 * time.Second, maxGatewayCalls: 200, maxStorageNodeCalls: 900},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fleet := &testFleet{store: newFakeStore(), network: &fakeNetwork{holders: make(map[netip.AddrPort]*mirror.Holder)}}
				fleet.store.add("instance")
				fleet.start(ctx, t, c.gateways)
				time.Sleep(2 * time.Second)
				synctest.Wait()
				assert.Equal(t, fleet.gatewaysWithObjects.Load(), int64(c.gateways))
				fleet.addInstances()
				time.Sleep(5 * time.Second)
				fleet.store.setUnresponsive(true)
				time.Sleep(c.outage)
				fleet.store.add(lateObject)
				fleet.store.setUnresponsive(false)
				time.Sleep(recoveryTime)
				synctest.Wait()
				assert.Equal(t, fleet.gatewaysWithLateObject.Load(), int64(c.gateways))
				time.Sleep(10 * time.Second)
				storageNodeCalls, gatewayCalls := fleet.store.callCount("storage"), fleet.store.callCount("gateway")
				t.Logf("%d gateways: %d calls of storage nodes, %d of gateways", c.gateways, storageNodeCalls, gatewayCalls)
				assert.Assert(t, gatewayCalls <= c.maxGatewayCalls, "%d calls of gateways", gatewayCalls)
				assert.Assert(t, storageNodeCalls <= c.maxStorageNodeCalls, "%d calls of storage nodes", storageNodeCalls)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// addInstances adds instances one by one.
func (f *testFleet) addInstances() {
	const instances = 140
	for index := range instances {
		f.store.add(fmt.Sprint("instance-", index))
		time.Sleep(20 * time.Millisecond)
	}
}
