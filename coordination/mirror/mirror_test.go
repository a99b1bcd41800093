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

// snapshot returns a snapshot with one object, both at the given revision.
func snapshot(at int64) follow.Snapshot {
	return follow.Snapshot{At: at, Objects: []follow.Object{{Name: "main", Revision: at, Spec: []byte(`{"a":1}`)}}}
}

func newHolder(t *testing.T, medium mirror.MetaStore) *mirror.Holder {
	t.Helper()
	holder, err := mirror.NewHolder(mirror.PersistedKinds(), medium, time.Now, zap.NewNop())
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

// TestCopiesSurviveRestart checks that a restarted holder has the saved copies, with an
// unknown age.
func TestCopiesSurviveRestart(t *testing.T) {
	medium := replica.NewMemory()
	first := newHolder(t, medium)
	serve(t, first)
	first.Update(mirror.KindConfiguration, snapshot(7))
	first.Update(mirror.KindConfiguration, snapshot(5))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		copies := newHolder(t, medium).Copies()
		if len(copies) == 0 {
			return poll.Continue("no copy was saved yet")
		}
		assert.DeepEqual(t, copies, []mirror.Copy{{Kind: mirror.KindConfiguration, Snapshot: snapshot(7)}})
		return poll.Success()
	})
	assert.Assert(t, !first.Copies()[0].ReceivedAt.IsZero())
}

// TestDamagedCopyIsIgnored checks that a holder starts without a copy that can't be decoded.
func TestDamagedCopyIsIgnored(t *testing.T) {
	medium := replica.NewMemory()
	assert.NilError(t, medium.SaveMeta(1<<32-2, "mirror-"+mirror.KindReplicaSets, []byte("{")))
	assert.Equal(t, len(newHolder(t, medium).Copies()), 0)
}

// blockedStore blocks listings until it is opened, and watches until they are cancelled.
type blockedStore struct {
	opened chan struct{}
	at     int64
}

func (s *blockedStore) List(ctx context.Context) (follow.Snapshot, error) {
	select {
	case <-s.opened:
		return snapshot(s.at), nil
	case <-ctx.Done():
		return follow.Snapshot{}, ctx.Err()
	}
}

func (s *blockedStore) Watch(ctx context.Context, _ int64, _ time.Duration) (follow.Changes, error) {
	<-ctx.Done()
	return follow.Changes{}, ctx.Err()
}

// fakeFetcher returns the copies of each address, and an error for other addresses.
type fakeFetcher map[netip.AddrPort][]mirror.Copy

func (f fakeFetcher) FetchMirror(_ context.Context, address netip.AddrPort) ([]mirror.Copy, error) {
	if copies, found := f[address]; found {
		return copies, nil
	}
	return nil, errors.New("no answer")
}

// appliedRevisions records the revisions that a follower applied.
type appliedRevisions struct {
	mutex     sync.Mutex
	revisions []int64
}

func (a *appliedRevisions) apply(s follow.Snapshot) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.revisions = append(a.revisions, s.At)
}

func (a *appliedRevisions) last() int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(a.revisions) == 0 {
		return 0
	}
	return a.revisions[len(a.revisions)-1]
}

func (a *appliedRevisions) await(t *testing.T, revision int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a.last() == revision {
			return poll.Success()
		}
		return poll.Continue("revision %d is applied", a.last())
	})
}

// TestStartWithoutStore checks that a node that starts while the store doesn't answer uses
// the newest copy of any holder, with an unknown age, and follows the store once it answers.
func TestStartWithoutStore(t *testing.T) {
	store := &blockedStore{opened: make(chan struct{}), at: 12}
	applied := &appliedRevisions{}
	settings := follow.DefaultSettings()
	settings.ListTimeout = 200 * time.Millisecond
	follower := follow.New(follow.Options{
		Name: mirror.KindConfiguration, Source: store, Settings: settings, Apply: applied.apply, Logger: zap.NewNop(), Now: time.Now,
	})
	first, second, unreachable := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	reader := mirror.NewReader(func() []netip.AddrPort { return []netip.AddrPort{first, second, unreachable} }, fakeFetcher{
		first:  {{Kind: mirror.KindConfiguration, Snapshot: snapshot(9)}},
		second: {{Kind: mirror.KindConfiguration, Snapshot: snapshot(11)}, {Kind: "unknown", Snapshot: snapshot(30)}},
	}, map[string]mirror.Follower{mirror.KindConfiguration: follower}, time.Now, zap.NewNop())
	serve(t, follower)
	serve(t, reader)
	applied.await(t, 11)
	_, heard := follower.Age()
	assert.Assert(t, !heard, "a copy doesn't tell how old it is")
	close(store.opened)
	applied.await(t, 12)
	applied.mutex.Lock()
	defer applied.mutex.Unlock()
	for i := 1; i < len(applied.revisions); i++ {
		assert.Assert(t, applied.revisions[i] > applied.revisions[i-1], "%v", applied.revisions)
	}
}

// TestReaderIsIdleWhileStoreAnswers checks that no copy is fetched, however new, while the
// follower hears from the store.
func TestReaderIsIdleWhileStoreAnswers(t *testing.T) {
	store := &blockedStore{opened: make(chan struct{}), at: 12}
	close(store.opened)
	applied := &appliedRevisions{}
	follower := follow.New(follow.Options{
		Name: mirror.KindConfiguration, Source: store, Settings: follow.DefaultSettings(), Apply: applied.apply, Logger: zap.NewNop(), Now: time.Now,
	})
	serve(t, follower)
	applied.await(t, 12)
	fetcher := &countingFetcher{}
	serve(t, mirror.NewReader(func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")} }, fetcher,
		map[string]mirror.Follower{mirror.KindConfiguration: follower}, time.Now, zap.NewNop()))
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, fetcher.count(), 0)
	assert.Equal(t, applied.last(), int64(12))
}

// countingFetcher counts its calls and returns a copy that is newer than the store.
type countingFetcher struct {
	mutex sync.Mutex
	calls int
}

func (c *countingFetcher) FetchMirror(context.Context, netip.AddrPort) ([]mirror.Copy, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls++
	return []mirror.Copy{{Kind: mirror.KindConfiguration, Snapshot: snapshot(99)}}, nil
}

func (c *countingFetcher) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.calls
}
