package mirror_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/state/replica"
)

// snapshot has one object whose content names the revision.
func snapshot(at int64) follow.Snapshot {
	return follow.Snapshot{At: at, Objects: []follow.Object{{Name: "main", Revision: at, Spec: []byte(`{"a":1}`)}}}
}

func newHolder(t *testing.T, medium mirror.Medium) *mirror.Holder {
	t.Helper()
	holder, err := mirror.NewHolder(mirror.Kinds(), medium, time.Now, zap.NewNop())
	assert.NilError(t, err)
	return holder
}

// serve runs the service until the test ends.
func serve(t *testing.T, service interface{ Serve(context.Context) error }) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = service.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// TestCopiesOutliveAProcess: what a holder kept is there for its next life, whose
// copies don't claim an age.
func TestCopiesOutliveAProcess(t *testing.T) {
	medium := replica.NewMemory()
	first := newHolder(t, medium)
	serve(t, first)
	first.Keep(mirror.KindConfiguration, snapshot(7))
	first.Keep(mirror.KindConfiguration, snapshot(5))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		copies := newHolder(t, medium).Copies()
		if len(copies) == 0 {
			return poll.Continue("nothing was written yet")
		}
		assert.DeepEqual(t, copies, []mirror.Copy{{Kind: mirror.KindConfiguration, Snapshot: snapshot(7)}})
		return poll.Success()
	})
	assert.Assert(t, !first.Copies()[0].Heard.IsZero())
}

// TestDamagedCopyIsLeftOut: a holder starts without it.
func TestDamagedCopyIsLeftOut(t *testing.T) {
	medium := replica.NewMemory()
	assert.NilError(t, medium.SaveMeta(1<<32-2, "mirror-"+mirror.KindSets, []byte("{")))
	assert.Equal(t, len(newHolder(t, medium).Copies()), 0)
}

// silentStore answers no listing until it is opened.
type silentStore struct {
	opened chan struct{}
	at     int64
}

func (s *silentStore) List(ctx context.Context) (follow.Snapshot, error) {
	select {
	case <-s.opened:
		return snapshot(s.at), nil
	case <-ctx.Done():
		return follow.Snapshot{}, ctx.Err()
	}
}

func (s *silentStore) Watch(ctx context.Context, _ int64, _ time.Duration) (follow.Changes, error) {
	<-ctx.Done()
	return follow.Changes{}, ctx.Err()
}

// holders answers with the copies of each address, or not at all.
type holders map[netip.AddrPort][]mirror.Copy

func (h holders) FetchMirror(_ context.Context, address netip.AddrPort) ([]mirror.Copy, error) {
	if copies, found := h[address]; found {
		return copies, nil
	}
	return nil, errors.New("no answer")
}

// applied notes the revisions that a follower put in force.
type applied struct {
	mutex     sync.Mutex
	revisions []int64
}

func (a *applied) apply(s follow.Snapshot) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.revisions = append(a.revisions, s.At)
}

func (a *applied) last() int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(a.revisions) == 0 {
		return 0
	}
	return a.revisions[len(a.revisions)-1]
}

func (a *applied) await(t *testing.T, revision int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a.last() == revision {
			return poll.Success()
		}
		return poll.Continue("revision %d is in force", a.last())
	})
}

// TestStartWithoutStore: a node that starts while the store is silent begins with
// the newest copy of any holder, claims nothing about its age, goes on to the
// store's own once it answers, and takes no copy from then on.
func TestStartWithoutStore(t *testing.T) {
	store := &silentStore{opened: make(chan struct{}), at: 12}
	seen := &applied{}
	settings := follow.DefaultSettings()
	settings.ListTimeout = 200 * time.Millisecond
	follower := follow.New(follow.Options{
		Name: mirror.KindConfiguration, Source: store, Settings: settings, Apply: seen.apply, Logger: zap.NewNop(), Now: time.Now,
	})
	first, second, dead := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	reader := mirror.NewReader(func() []netip.AddrPort { return []netip.AddrPort{first, second, dead} }, holders{
		first:  {{Kind: mirror.KindConfiguration, Snapshot: snapshot(9)}},
		second: {{Kind: mirror.KindConfiguration, Snapshot: snapshot(11)}, {Kind: "unknown", Snapshot: snapshot(30)}},
	}, map[string]mirror.Follower{mirror.KindConfiguration: follower}, time.Now, zap.NewNop())
	serve(t, follower)
	serve(t, reader)
	seen.await(t, 11)
	_, heard := follower.Age()
	assert.Assert(t, !heard, "a copy says nothing of what the store holds now")
	close(store.opened)
	seen.await(t, 12)
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	for i := 1; i < len(seen.revisions); i++ {
		assert.Assert(t, seen.revisions[i] > seen.revisions[i-1], "%v", seen.revisions)
	}
}

// TestNothingIsTakenFromCopiesWhileTheStoreAnswers, however new they claim to be.
func TestNothingIsTakenFromCopiesWhileTheStoreAnswers(t *testing.T) {
	store := &silentStore{opened: make(chan struct{}), at: 12}
	close(store.opened)
	seen := &applied{}
	follower := follow.New(follow.Options{
		Name: mirror.KindConfiguration, Source: store, Settings: follow.DefaultSettings(), Apply: seen.apply, Logger: zap.NewNop(), Now: time.Now,
	})
	serve(t, follower)
	seen.await(t, 12)
	asked := &countingHolder{}
	serve(t, mirror.NewReader(func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")} }, asked,
		map[string]mirror.Follower{mirror.KindConfiguration: follower}, time.Now, zap.NewNop()))
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, asked.count(), 0)
	assert.Equal(t, seen.last(), int64(12))
}

// countingHolder counts how often it is asked.
type countingHolder struct {
	mutex sync.Mutex
	asked int
}

func (c *countingHolder) FetchMirror(context.Context, netip.AddrPort) ([]mirror.Copy, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asked++
	return []mirror.Copy{{Kind: mirror.KindConfiguration, Snapshot: snapshot(99)}}, nil
}

func (c *countingHolder) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.asked
}
