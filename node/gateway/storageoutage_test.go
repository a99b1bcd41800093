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

// dialTimeout is when a call at a dark machine fails for want of a connection.
const dialTimeout = 700 * time.Millisecond

// darkeningNetwork is that of the fleet until all storage nodes go dark: calls that are
// under way then get no answer, and new ones no connection.
type darkeningNetwork struct {
	*fleetNetwork
	mutex sync.Mutex
	dark  bool
}

func (n *darkeningNetwork) WatchMirror(ctx context.Context, address netip.AddrPort, kind string, revision int64, wait time.Duration) (mirror.Answer, error) {
	if n.isDark() {
		if err := sleep.For(ctx, dialTimeout); err != nil {
			return nil, err
		}
		return nil, errNoConnection
	}
	said, err := n.fleetNetwork.WatchMirror(ctx, address, kind, revision, wait)
	if n.isDark() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return said, err
}

var errNoConnection = errors.New("no connection")

func (n *darkeningNetwork) isDark() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.dark
}

func (n *darkeningNetwork) setDark(dark bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.dark = dark
}

// applications notes when a gateway put each object in force.
type applications struct {
	mutex sync.Mutex
	first map[string]time.Time
}

func (a *applications) apply(snapshot follow.Snapshot) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, object := range snapshot.Objects {
		if _, known := a.first[object.Name]; !known {
			a.first[object.Name] = time.Now()
		}
	}
}

// of tells when the object was put in force; now, where it wasn't yet.
func (a *applications) of(name string) time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if at, applied := a.first[name]; applied {
		return at
	}
	return time.Now()
}

const (
	darkGateways = 20
	darkFor      = 12 * time.Second
	// changePause lies between two changes of the configuration.
	changePause = 250 * time.Millisecond
)

// All storage nodes of a site lost their power for eight seconds, while the operator went
// on changing routes and the store answered every call. Gateways followed the
// configuration through those nodes. Each one asked the store once, and then waited for
// its patience with the nodes again, though none of them had answered in between: the
// store was asked every 1.8 to 3.4 s where a change is due within 2 s. A gateway refused
// a route that had been added 2.1 s before:
//
//	13.6840 following the store itself ... configuration in force version=147
//	13.8341 store lost objects=configuration error="no holder answers: the store wasn't asked"
//	15.9162 not answered configuration=147 status=404 "version 147 has no route for this host and path"
//	16.0202 configuration in force version=177
//
// The store was well all the while, so that the gateway is held to the limit again once
// the undisturbed time since the loss has passed.
func TestConfigurationIsInTimeWhileAllStorageNodesAreDark(t *testing.T) {
	for _, limits := range []settings.Gateway{
		{UndisturbedTime: 3 * time.Second, ApplyLimit: 2 * time.Second},
		{UndisturbedTime: 4 * time.Second, ApplyLimit: 3 * time.Second},
		{UndisturbedTime: 5 * time.Second, ApplyLimit: 4 * time.Second},
	} {
		t.Run(fmt.Sprint(limits.UndisturbedTime), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) { playDarkStorage(t, limits) })
		})
	}
}

func playDarkStorage(t *testing.T, limits settings.Gateway) {
	ctx, cancel := context.WithCancel(t.Context())
	fleet := &testFleet{store: newFleetStore(), network: &fleetNetwork{holders: make(map[netip.AddrPort]*mirror.Holder)}}
	fleet.store.add("first")
	fleet.members = []register.Member{
		{Node: "storage-0", Zone: "zone-0", Address: "10.0.0.1:1"},
		{Node: "storage-1", Zone: "zone-1", Address: "10.0.0.2:1"},
		{Node: "storage-2", Zone: "zone-2", Address: "10.0.0.3:1"},
	}
	for _, member := range fleet.members {
		fleet.startHolder(ctx, t, member)
	}
	network := &darkeningNetwork{fleetNetwork: fleet.network}
	var gateways []*applications
	for index := range darkGateways {
		gateways = append(gateways, fleet.startFollowing(ctx, network, fmt.Sprint("edge-", index), limits))
	}
	time.Sleep(5 * time.Second)
	network.setDark(true)
	wentDark := time.Now()
	made := make(map[string]time.Time)
	for index := 0; time.Since(wentDark) < darkFor; index++ {
		name := fmt.Sprint("route-", index)
		fleet.store.add(name)
		made[name] = time.Now()
		time.Sleep(changePause)
	}
	network.setDark(false)
	time.Sleep(limits.ApplyLimit)
	synctest.Wait()
	late, latest := 0, time.Duration(0)
	for name, acknowledged := range made {
		due := acknowledged.Add(limits.ApplyLimit)
		if answerable := wentDark.Add(limits.UndisturbedTime); due.Before(answerable) {
			due = answerable
		}
		for _, gateway := range gateways {
			if by := gateway.of(name).Sub(due); by > 0 {
				late, latest = late+1, max(latest, by)
			}
		}
	}
	t.Logf("%d calls of gateways at the store", fleet.store.callsOf("gateway"))
	assert.Assert(t, late == 0, "%d of %d changes were late at a gateway, by %s at most", late, len(made)*len(gateways), latest)
	cancel()
	synctest.Wait()
}

// startFollowing starts a gateway that follows the configuration over the network.
func (f *testFleet) startFollowing(ctx context.Context, network mirror.Watcher, name string, limits settings.Gateway) *applications {
	seen := &applications{first: make(map[string]time.Time)}
	holders := mirror.NewHolders(func() []netip.AddrPort { return mirror.Near("zone-0", name, f.members) }, time.Now)
	follower := follow.New(follow.Options{
		Name: mirror.KindInstances, Settings: callSettings(limits), Logger: zap.NewNop(), Now: time.Now, Apply: seen.apply,
		Source: mirror.NewSource(mirror.KindInstances, roleCalls{store: f.store, role: "gateway"}, holders, network, holderSettings(limits), zap.NewNop()),
	})
	go func() { _ = follower.Serve(ctx) }()
	return seen
}
