package mirror_test

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/test/bubble"
)

var (
	holderA = netip.MustParseAddrPort("10.0.0.1:1")
	holderB = netip.MustParseAddrPort("10.0.0.2:1")
	holderC = netip.MustParseAddrPort("10.0.0.3:1")
)

// fakeWatcher returns a set answer for each holder. Calls to holders without one fail after
// the delay.
type fakeWatcher struct {
	answers map[netip.AddrPort]mirror.WatchAnswer
	now     *time.Time
	delay   time.Duration
	mutex   sync.Mutex
	asked   []netip.AddrPort
	// waits are the requested waits of the calls.
	waits []time.Duration
	// barrier blocks each call until all calls that it counts have begun; nil for none.
	barrier *sync.WaitGroup
}

func (w *fakeWatcher) WatchMirror(_ context.Context, holder netip.AddrPort, _ string, _ int64, wait time.Duration) (mirror.WatchAnswer, error) {
	if w.barrier != nil {
		w.barrier.Done()
		w.barrier.Wait()
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.asked = append(w.asked, holder)
	w.waits = append(w.waits, wait)
	if answer := w.answers[holder]; answer != nil {
		return answer, nil
	}
	if w.delay > 0 {
		*w.now = w.now.Add(w.delay)
	}
	return nil, errors.New("no answer")
}

// fakeStore counts its calls and records the last watch.
type fakeStore struct {
	// err is returned by all calls.
	err                   error
	listCalls, watchCalls int
	from                  int64
	wait                  time.Duration
}

func (s *fakeStore) List(context.Context) (follow.Snapshot, error) {
	s.listCalls++
	return snapshot(9), s.err
}

func (s *fakeStore) Watch(_ context.Context, from int64, wait time.Duration) (follow.Changes, error) {
	s.watchCalls++
	s.from, s.wait = from, wait
	return follow.Changes{At: 9}, s.err
}

// sourceFixture is a source with three holders, a fake clock and a fake store.
type sourceFixture struct {
	now       time.Time
	store     fakeStore
	watcher   fakeWatcher
	addresses []netip.AddrPort
	source    *mirror.Source
}

// newSourceFixture creates a source that falls back to the store at once.
func newSourceFixture(answers map[netip.AddrPort]mirror.WatchAnswer) *sourceFixture {
	return newDelayedSourceFixture(answers, mirror.FallbackDelays{})
}

func newDelayedSourceFixture(answers map[netip.AddrPort]mirror.WatchAnswer, delays mirror.FallbackDelays) *sourceFixture {
	f := &sourceFixture{now: time.Unix(1000, 0), addresses: []netip.AddrPort{holderA, holderB, holderC}}
	f.watcher = fakeWatcher{answers: answers, now: &f.now}
	holders := mirror.NewHolderSelector(func() []netip.AddrPort { return f.addresses }, func() time.Time { return f.now })
	settings := mirror.SourceSettings{HolderWait: time.Second, MaxHolderAge: 4 * time.Second, FallbackDelays: delays}
	f.source = mirror.NewSource(mirror.KindInstances, &f.store, holders, &f.watcher, settings, zap.NewNop())
	return f
}

func (f *sourceFixture) watch(t *testing.T, from int64) follow.Changes {
	t.Helper()
	changes, err := f.source.Watch(context.Background(), from, 2*time.Second)
	assert.NilError(t, err)
	return changes
}

func currentAnswer(at int64) mirror.WatchAnswer {
	return mirror.Changed{Changes: follow.Changes{At: at}}
}

func wholeAnswer(at int64, age time.Duration) mirror.WatchAnswer {
	events := []follow.Event{{Object: follow.Object{Name: "main", Revision: at}}}
	return mirror.Changed{Changes: follow.Changes{At: at, IsFull: true, Age: age, Events: events}}
}

// TestSourceSkipsUnusableHolder checks that one call goes on to the next holder and then to
// the store, from the same revision, and that the first holder is asked again later.
func TestSourceSkipsUnusableHolder(t *testing.T) {
	for name, answer := range map[string]mirror.WatchAnswer{
		"no answer": nil, "lost": mirror.StoreLost{}, "not following": mirror.NotFollowed{},
		"stale": mirror.Changed{Changes: follow.Changes{At: 7, Age: 5 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newSourceFixture(map[netip.AddrPort]mirror.WatchAnswer{holderA: answer, holderB: currentAnswer(8), holderC: answer})
			assert.Equal(t, f.watch(t, 7).At, int64(8))
			f.watcher.answers[holderB] = mirror.StoreLost{}
			assert.Equal(t, f.watch(t, 8).At, int64(9))
			assert.Equal(t, f.store.watchCalls, 1)
			assert.Equal(t, f.store.from, int64(8))
			f.now = f.now.Add(time.Second)
			f.watcher.answers[holderA] = currentAnswer(10)
			assert.Equal(t, f.watch(t, 9).At, int64(10))
			assert.Equal(t, f.store.watchCalls, 1)
			assert.Equal(t, f.store.listCalls, 0)
		})
	}
}

// TestSourceAsksStoreAfterSlowFailure guards against changes that are late because a second
// holder is asked after a timeout. The store must be asked for the rest of the wait.
func TestSourceAsksStoreAfterSlowFailure(t *testing.T) {
	f := newSourceFixture(map[netip.AddrPort]mirror.WatchAnswer{holderB: currentAnswer(8)})
	f.watcher.delay = 1400 * time.Millisecond
	assert.Equal(t, f.watch(t, 7).At, int64(9))
	assert.Assert(t, slices.Equal(f.watcher.asked, []netip.AddrPort{holderA}), "%v", f.watcher.asked)
	assert.Equal(t, f.store.wait, 600*time.Millisecond)
	assert.Equal(t, f.watch(t, 9).At, int64(8))
}

// TestFailingHolderBacksOff checks that the backoff doubles up to its maximum and starts over
// after an answer.
func TestFailingHolderBacksOff(t *testing.T) {
	f := newSourceFixture(map[netip.AddrPort]mirror.WatchAnswer{holderB: currentAnswer(8)})
	pauses := func(count int) (found []time.Duration) {
		last := f.now
		for len(found) < count {
			f.watcher.asked = nil
			f.watch(t, 7)
			if len(f.watcher.asked) > 0 && f.watcher.asked[0] == holderA {
				found = append(found, f.now.Sub(last))
				last = f.now
			}
			f.now = f.now.Add(100 * time.Millisecond)
		}
		return found
	}
	assert.DeepEqual(t, pauses(6), []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second})
	f.now = f.now.Add(3 * time.Second)
	f.watcher.answers[holderA] = currentAnswer(8)
	f.watch(t, 7)
	delete(f.watcher.answers, holderA)
	assert.DeepEqual(t, pauses(2), []time.Duration{0, 500 * time.Millisecond})
}

// TestListPrefersUsableHolder checks that a listing and its age come from a holder, and from
// the store if the holder's answer can't be used.
func TestListPrefersUsableHolder(t *testing.T) {
	for name, c := range map[string]struct {
		answer mirror.WatchAnswer
		listed int
		age    time.Duration
	}{
		"current":   {wholeAnswer(12, time.Second), 0, time.Second},
		"lost":      {mirror.StoreLost{}, 1, 0},
		"no answer": {nil, 1, 0},
		"stale":     {wholeAnswer(12, 5*time.Second), 1, 0},
		"behind":    {wholeAnswer(4, 0), 1, 0},
		"partial":   {currentAnswer(12), 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newSourceFixture(map[netip.AddrPort]mirror.WatchAnswer{holderA: currentAnswer(5)})
			assert.Equal(t, f.watch(t, 5).At, int64(5))
			f.watcher.answers[holderA] = c.answer
			listed, err := f.source.List(context.Background())
			assert.NilError(t, err)
			assert.Equal(t, f.store.listCalls, c.listed)
			assert.Equal(t, listed.Age, c.age)
			assert.Equal(t, len(listed.Objects), 1)
			assert.Equal(t, listed.At, map[bool]int64{true: 12, false: 9}[c.listed == 0])
		})
	}
}

// TestCancelledCallCausesNoBackoff checks that a call that its caller cancels isn't counted
// as a failure of the holder.
func TestCancelledCallCausesNoBackoff(t *testing.T) {
	f := newSourceFixture(map[netip.AddrPort]mirror.WatchAnswer{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := f.source.Watch(ctx, 7, time.Second)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, f.store.watchCalls, 0)
	f.watcher.answers[holderA] = currentAnswer(8)
	assert.Equal(t, f.watch(t, 7).At, int64(8))
}

// TestStoreIsAskedOnlyAfterDelay checks the delay while holders are unreachable or have lost
// the store, and that it applies again after a failed call. Without holders there is none.
func TestStoreIsAskedOnlyAfterDelay(t *testing.T) {
	delays := mirror.FallbackDelays{HoldersUnreachable: time.Second, StoreLost: 4 * time.Second}
	// The jitter of a source lengthens its delays by up to a factor of two.
	for name, c := range map[string]struct {
		answer            mirror.WatchAnswer
		shortest, longest time.Duration
	}{
		"unreachable": {nil, time.Second, 2 * time.Second},
		"lost":        {mirror.StoreLost{}, 4 * time.Second, 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newDelayedSourceFixture(map[netip.AddrPort]mirror.WatchAnswer{holderA: c.answer, holderB: c.answer, holderC: c.answer}, delays)
			f.store.err = errStore
			var pauses []time.Duration
			last := f.now
			for len(pauses) < 3 {
				before := f.store.listCalls
				_, err := f.source.List(t.Context())
				if f.store.listCalls > before {
					assert.ErrorIs(t, err, errStore)
					pauses = append(pauses, f.now.Sub(last))
					last = f.now
				}
				f.now = f.now.Add(50 * time.Millisecond)
			}
			for _, pause := range pauses {
				assert.Assert(t, pause >= c.shortest && pause <= c.longest+50*time.Millisecond, "%v", pauses)
			}
		})
	}
	t.Run("no holders", func(t *testing.T) {
		f := newDelayedSourceFixture(nil, delays)
		f.addresses = nil
		_, err := f.source.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, f.store.listCalls, 1)
	})
}

var errStore = errors.New("store unavailable")

// TestSourceFollowsStoreUntilHolderAnswers checks that the delay applies only to the first call,
// and again after two failures of the store in a row.
func TestSourceFollowsStoreUntilHolderAnswers(t *testing.T) {
	for name, answer := range map[string]mirror.WatchAnswer{"unreachable": nil, "lost": mirror.StoreLost{}} {
		t.Run(name, func(t *testing.T) {
			delays := mirror.FallbackDelays{HoldersUnreachable: time.Second, StoreLost: 4 * time.Second}
			f := newDelayedSourceFixture(map[netip.AddrPort]mirror.WatchAnswer{holderA: answer, holderB: answer, holderC: answer}, delays)
			asksStore := func() bool {
				before := f.store.watchCalls
				_, _ = f.source.Watch(t.Context(), 7, 2*time.Second)
				f.now = f.now.Add(50 * time.Millisecond)
				return f.store.watchCalls > before
			}
			assert.Assert(t, !asksStore())
			f.now = f.now.Add(10 * time.Second)
			for range 20 {
				assert.Assert(t, asksStore())
			}
			f.store.err = errStore
			assert.Assert(t, asksStore())
			f.store.err = nil
			assert.Assert(t, asksStore(), "after one failure")
			f.store.err = follow.ErrHistoryCompacted
			for range 5 {
				assert.Assert(t, asksStore(), "a store without the history still answers")
			}
			f.store.err = errStore
			assert.Assert(t, asksStore())
			assert.Assert(t, asksStore())
			assert.Assert(t, !asksStore(), "after two failures")
			f.now = f.now.Add(10 * time.Second)
			f.store.err = nil
			assert.Assert(t, asksStore())
			f.now = f.now.Add(4 * time.Second)
			f.watcher.answers[holderB] = currentAnswer(9)
			assert.Assert(t, !asksStore(), "a holder answers")
			f.watcher.answers[holderB] = answer
			assert.Assert(t, !asksStore(), "the holder fails again")
		})
	}
}

// TestStoreCallsKeepPause checks that frequent changes don't cost a call to the store each
// from every node that has lost its holders.
func TestStoreCallsKeepPause(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const pause = 800 * time.Millisecond
		store := &fakeStore{}
		watcher := &fakeWatcher{}
		list := func() []netip.AddrPort { return []netip.AddrPort{holderA} }
		source := mirror.NewSource(mirror.KindInstances, store, mirror.NewHolderSelector(list, time.Now), watcher,
			mirror.SourceSettings{HolderWait: time.Second, MaxHolderAge: time.Minute, StorePause: pause}, zap.NewNop())
		start := time.Now()
		for range 5 {
			_, err := source.Watch(t.Context(), 7, 2*time.Second)
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(start), 4*pause)
		watcher.answers = map[netip.AddrPort]mirror.WatchAnswer{holderA: currentAnswer(9)}
		time.Sleep(3 * time.Second)
		start = time.Now()
		for range 5 {
			_, err := source.Watch(t.Context(), 9, 2*time.Second)
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(start), time.Duration(0), "a holder is followed without pauses")
	})
}

// TestLostHolderBecomesUnreachable checks that the longer delay for holders that have lost
// the store ends when these don't answer any more.
func TestLostHolderBecomesUnreachable(t *testing.T) {
	delays := mirror.FallbackDelays{HoldersUnreachable: time.Second, StoreLost: time.Minute}
	f := newDelayedSourceFixture(map[netip.AddrPort]mirror.WatchAnswer{holderA: mirror.StoreLost{}}, delays)
	f.addresses = []netip.AddrPort{holderA}
	for range 20 {
		_, err := f.source.Watch(t.Context(), 7, time.Second)
		assert.ErrorIs(t, err, follow.ErrNotQueried)
		f.now = f.now.Add(250 * time.Millisecond)
	}
	delete(f.watcher.answers, holderA)
	f.now = f.now.Add(2 * time.Second)
	assert.Equal(t, f.watch(t, 7).At, int64(9))
}

// TestOnlyFirstHolderMayHoldCall guards against unreachable holders that delay changes: only the
// first holder of a call is asked with a wait, and none while the store is followed.
func TestOnlyFirstHolderMayHoldCall(t *testing.T) {
	f := newDelayedSourceFixture(map[netip.AddrPort]mirror.WatchAnswer{holderC: currentAnswer(8)}, mirror.FallbackDelays{HoldersUnreachable: time.Minute})
	f.watch(t, 7)
	assert.DeepEqual(t, f.watcher.waits, []time.Duration{time.Second, 0, 0})
	clear(f.watcher.answers)
	f.now = f.now.Add(2 * time.Minute)
	f.watch(t, 8)
	f.watcher.waits = nil
	f.now = f.now.Add(time.Second)
	f.watch(t, 9)
	assert.DeepEqual(t, f.watcher.waits, []time.Duration{0, 0, 0})
}

// TestHoldersPerCallAreLimited checks that a source that loses all of its holders at once
// doesn't ask every one of them in one call.
func TestHoldersPerCallAreLimited(t *testing.T) {
	f := newDelayedSourceFixture(map[netip.AddrPort]mirror.WatchAnswer{}, mirror.FallbackDelays{HoldersUnreachable: time.Second, StoreLost: time.Second})
	f.addresses = nil
	for index := range 20 {
		holder := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(index)}), 1)
		f.addresses = append(f.addresses, holder)
		f.watcher.answers[holder] = mirror.StoreLost{}
	}
	_, err := f.source.Watch(t.Context(), 7, time.Second)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(f.watcher.asked), 2, "holders that have lost the store")
	f.now = f.now.Add(time.Minute)
	clear(f.watcher.answers)
	f.watcher.asked = nil
	_, err = f.source.Watch(t.Context(), 7, time.Second)
	assert.NilError(t, err, "the store is asked after a minute")
	assert.Equal(t, len(f.watcher.asked), 4, "unreachable holders")
}

// TestRecoveredHolderIsUsedSoon checks that a holder that has lost the store is asked again
// within 250 ms, however often it has answered so before.
func TestRecoveredHolderIsUsedSoon(t *testing.T) {
	f := newDelayedSourceFixture(map[netip.AddrPort]mirror.WatchAnswer{holderA: mirror.StoreLost{}}, mirror.FallbackDelays{StoreLost: time.Minute})
	f.addresses = []netip.AddrPort{holderA}
	for range 20 {
		_, err := f.source.List(t.Context())
		assert.Assert(t, err != nil)
		f.now = f.now.Add(250 * time.Millisecond)
	}
	f.watcher.answers[holderA] = wholeAnswer(12, 0)
	listed, err := f.source.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, listed.At, int64(12))
}

// TestConcurrentFailuresCountOnce checks that a holder that fails the calls of several kinds
// at the same moment backs off as after one failure.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	f := newDelayedSourceFixture(map[netip.AddrPort]mirror.WatchAnswer{}, mirror.FallbackDelays{HoldersUnreachable: time.Minute, StoreLost: time.Minute})
	holders := mirror.NewHolderSelector(func() []netip.AddrPort { return f.addresses }, func() time.Time { return f.now })
	settings := mirror.SourceSettings{HolderWait: time.Second, MaxHolderAge: 4 * time.Second, FallbackDelays: mirror.FallbackDelays{HoldersUnreachable: time.Minute, StoreLost: time.Minute}}
	var sources []*mirror.Source
	for _, kind := range mirror.PersistedKinds() {
		sources = append(sources, mirror.NewSource(kind, &f.store, holders, &f.watcher, settings, zap.NewNop()))
	}
	f.watcher.barrier = &sync.WaitGroup{}
	f.watcher.barrier.Add(len(sources))
	f.addresses = []netip.AddrPort{holderA}
	var calls sync.WaitGroup
	for _, source := range sources {
		calls.Go(func() {
			_, err := source.Watch(context.Background(), 7, time.Second)
			assert.Check(t, errors.Is(err, follow.ErrNotQueried))
		})
	}
	calls.Wait()
	f.watcher.barrier = nil
	f.watcher.answers[holderA] = currentAnswer(8)
	f.now = f.now.Add(600 * time.Millisecond)
	changes, err := sources[0].Watch(context.Background(), 7, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, changes.At, int64(8))
}
