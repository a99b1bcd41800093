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

// fleetStore is one kind in a store that many nodes follow. It counts the calls of
// storage nodes and of gateways.
type fleetStore struct {
	mutex    sync.Mutex
	objects  []follow.Object
	revision int64
	changed  chan struct{}
	silent   bool
	calls    map[string]int
}

func newFleetStore() *fleetStore {
	return &fleetStore{revision: 1, changed: make(chan struct{}), calls: make(map[string]int)}
}

// add makes one object more, and wakes the calls that are held.
func (s *fleetStore) add(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.objects = append(s.objects, follow.Object{Name: name, Revision: s.revision, Spec: []byte(`{}`)})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fleetStore) setSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
}

func (s *fleetStore) callsOf(role string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[role]
}

// look returns what there is after the revision.
func (s *fleetStore) look(from int64) (found []follow.Object, at int64, changed chan struct{}, silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, object := range s.objects {
		if object.Revision > from {
			found = append(found, object)
		}
	}
	return found, s.revision, s.changed, s.silent
}

// roleCalls are the calls of one role's nodes. It implements follow.Source.
type roleCalls struct {
	store *fleetStore
	role  string
	// quiet is a kind of which nothing is ever made: the store's revision rises
	// without it.
	quiet bool
}

func (c roleCalls) count() {
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	c.store.calls[c.role]++
}

func (c roleCalls) look(from int64) (found []follow.Object, at int64, changed chan struct{}, silent bool) {
	found, at, changed, silent = c.store.look(from)
	if c.quiet {
		found = nil
	}
	return found, at, changed, silent
}

func (c roleCalls) List(ctx context.Context) (follow.Snapshot, error) {
	c.count()
	found, at, _, silent := c.look(0)
	if silent {
		<-ctx.Done()
		return follow.Snapshot{}, ctx.Err()
	}
	return follow.Snapshot{Objects: found, At: at}, nil
}

func (c roleCalls) Watch(ctx context.Context, from int64, wait time.Duration) (follow.Changes, error) {
	c.count()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, at, changed, silent := c.look(from)
		if len(found) > 0 && !silent {
			changes := follow.Changes{At: at}
			for _, object := range found {
				changes.Events = append(changes.Events, follow.Event{Object: object})
			}
			return changes, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if !silent {
				return follow.Changes{At: at}, nil
			}
			<-ctx.Done()
			return follow.Changes{}, ctx.Err()
		case <-ctx.Done():
			return follow.Changes{}, ctx.Err()
		}
	}
}

// fleetNetwork reaches the holders that are up. It implements mirror.Watcher.
type fleetNetwork struct {
	mutex   sync.Mutex
	holders map[netip.AddrPort]*mirror.Holder
}

var errRefused = errors.New("connection refused")

func (n *fleetNetwork) WatchMirror(ctx context.Context, address netip.AddrPort, kind string, revision int64, wait time.Duration) (mirror.Answer, error) {
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

func (n *fleetNetwork) open(address netip.AddrPort, holder *mirror.Holder) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.holders[address] = holder
}

// testFleet has storage nodes in five zones and many gateways, all of which start
// at once and follow one kind.
type testFleet struct {
	store   *fleetStore
	network *fleetNetwork
	members []register.Member
	// knowing counts the gateways that heard of any object, and current those that
	// heard of lateObject.
	knowing, current atomic.Int64
}

// lateObject is made while the store says nothing.
const lateObject = "late"

// fleetKinds are what storage nodes follow.
var fleetKinds = []string{
	mirror.KindConfiguration, mirror.KindInstances, mirror.KindSets, mirror.KindNodes, mirror.KindRetirements,
}

const (
	fleetStorageNodes = 36
	fleetZones        = 5
	fleetApplyLimit   = 4 * time.Second
	// fleetRoundTrip is how long the way to another node and back takes.
	fleetRoundTrip = time.Millisecond
	// fleetSeedDelay is how much later than gateways storage nodes listen.
	fleetSeedDelay = 300 * time.Millisecond
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
	holder, err := mirror.NewHolder(mirror.Kinds(), replica.NewMemory(), time.Now, zap.NewNop())
	assert.NilError(t, err)
	upstreams := mirror.NewHolders(func() []netip.AddrPort { return mirror.Upstreams(self, f.members, nil) }, time.Now)
	for _, kind := range fleetKinds {
		f.follow(ctx, kind, holder, upstreams)
	}
	// Those that ask the store start last, as the machines that the settings name do.
	delay := time.Duration(0)
	if len(mirror.Upstreams(self, f.members, nil)) == 0 {
		delay = fleetSeedDelay
	}
	time.AfterFunc(delay, func() {
		f.network.open(netip.MustParseAddrPort(self.Address), holder)
	})
}

// follow has a storage node follow a kind, through others where it has upstreams.
func (f *testFleet) follow(ctx context.Context, kind string, holder *mirror.Holder, upstreams *mirror.Holders) {
	through := mirror.SourceSettings{
		Wait: 300 * time.Millisecond, MaxAge: fleetApplyLimit,
		Patience: mirror.Patience{Unreached: time.Second, Lost: 2 * time.Second},
	}
	bounds := follow.DefaultSettings()
	bounds.ListTimeout, bounds.WatchWait, bounds.WatchSlack = time.Second, 3300*time.Millisecond, 400*time.Millisecond
	follower := follow.New(follow.Options{
		Name: kind, Settings: bounds, Logger: zap.NewNop(), Now: time.Now,
		Source: mirror.NewSource(kind, roleCalls{store: f.store, role: "storage", quiet: kind != mirror.KindInstances}, upstreams, f.network, through, zap.NewNop()),
		Apply:  func(snapshot follow.Snapshot) { holder.Keep(kind, snapshot) },
		Lost:   func() { holder.Lost(kind) },
	})
	holder.Through(kind, follower)
	go func() { _ = follower.Serve(ctx) }()
}

// gatewayLimits are those that the gateways of the fleet are set to.
func (f *testFleet) gatewayLimits() settings.Gateway {
	return settings.Gateway{ApplyLimit: fleetApplyLimit, UndisturbedTime: 5 * time.Second}
}

func (f *testFleet) startGateway(ctx context.Context, name, zone string) {
	holders := mirror.NewHolders(func() []netip.AddrPort { return mirror.Near(zone, name, f.members) }, time.Now)
	limits := f.gatewayLimits()
	var heard, heardLate sync.Once
	follower := follow.New(follow.Options{
		Name: mirror.KindInstances, Settings: callSettings(limits), Logger: zap.NewNop(), Now: time.Now,
		Source: mirror.NewSource(mirror.KindInstances, roleCalls{store: f.store, role: "gateway"}, holders, f.network, holderSettings(limits), zap.NewNop()),
		Apply: func(snapshot follow.Snapshot) {
			if len(snapshot.Objects) > 0 {
				heard.Do(func() { f.knowing.Add(1) })
			}
			for _, object := range snapshot.Objects {
				if object.Name == lateObject {
					heardLate.Do(func() { f.current.Add(1) })
				}
			}
		},
	})
	go func() { _ = follower.Serve(ctx) }()
}

// regainedWithin is how soon after the store's return every gateway has to know of
// what was changed meanwhile: the shortest undisturbed time of a deployment.
const regainedWithin = 3 * time.Second

// TestGatewaysThatStartTogetherCostTheStoreNothing: what the store is asked for
// grows with neither zones nor gateways, while instances register,
// and while the store says nothing for some seconds. Where it is away for longer,
// a gateway asks it itself once in a while. Either way all of them soon know of
// what was changed meanwhile.
func TestGatewaysThatStartTogetherCostTheStoreNothing(t *testing.T) {
	for name, c := range map[string]struct {
		gateways int
		silence  time.Duration
		// most is the most calls of gateways, mostStorage of storage nodes for all kinds.
		most, mostStorage int
	}{
		"hundred":  {gateways: 100, silence: 4500 * time.Millisecond, mostStorage: 240},
		"thousand": {gateways: 1000, silence: 4500 * time.Millisecond, mostStorage: 240},
		"long":     {gateways: 100, silence: 12 * time.Second, most: 200, mostStorage: 900},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fleet := &testFleet{store: newFleetStore(), network: &fleetNetwork{holders: make(map[netip.AddrPort]*mirror.Holder)}}
				fleet.store.add("instance")
				fleet.start(ctx, t, c.gateways)
				time.Sleep(2 * time.Second)
				synctest.Wait()
				assert.Equal(t, fleet.knowing.Load(), int64(c.gateways))
				fleet.register()
				time.Sleep(5 * time.Second)
				fleet.store.setSilent(true)
				time.Sleep(c.silence)
				fleet.store.add(lateObject)
				fleet.store.setSilent(false)
				time.Sleep(regainedWithin)
				synctest.Wait()
				assert.Equal(t, fleet.current.Load(), int64(c.gateways))
				time.Sleep(10 * time.Second)
				ofStorage, ofGateways := fleet.store.callsOf("storage"), fleet.store.callsOf("gateway")
				t.Logf("%d gateways: %d calls of storage nodes, %d of gateways", c.gateways, ofStorage, ofGateways)
				assert.Assert(t, ofGateways <= c.most, "%d calls", ofGateways)
				assert.Assert(t, ofStorage <= c.mostStorage, "%d calls", ofStorage)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// register adds instances one after the other.
func (f *testFleet) register() {
	const instances = 140
	for index := range instances {
		f.store.add(fmt.Sprint("instance-", index))
		time.Sleep(20 * time.Millisecond)
	}
}
