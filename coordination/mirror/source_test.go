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

// scripted answers for each holder; those without an answer take their delay to
// fail.
type scripted struct {
	answers map[netip.AddrPort]mirror.Answer
	now     *time.Time
	delay   time.Duration
	mutex   sync.Mutex
	asked   []netip.AddrPort
	// waits are how long the calls were to be held.
	waits []time.Duration
	// together holds calls back until all that it counts were made; nil for none.
	together *sync.WaitGroup
}

func (s *scripted) WatchMirror(_ context.Context, holder netip.AddrPort, _ string, _ int64, wait time.Duration) (mirror.Answer, error) {
	if s.together != nil {
		s.together.Done()
		s.together.Wait()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.asked = append(s.asked, holder)
	s.waits = append(s.waits, wait)
	if said := s.answers[holder]; said != nil {
		return said, nil
	}
	if s.delay > 0 {
		*s.now = s.now.Add(s.delay)
	}
	return nil, errors.New("no answer")
}

// countedStore counts what it is asked for.
type countedStore struct {
	// err is what it answers with; nil while it is well.
	err             error
	listed, watched int
	from            int64
	wait            time.Duration
}

func (c *countedStore) List(context.Context) (follow.Snapshot, error) {
	c.listed++
	return snapshot(9), c.err
}

func (c *countedStore) Watch(_ context.Context, from int64, wait time.Duration) (follow.Changes, error) {
	c.watched++
	c.from, c.wait = from, wait
	return follow.Changes{At: 9}, c.err
}

// sourceWorld is a source with three holders, a clock and a store.
type sourceWorld struct {
	now     time.Time
	store   countedStore
	holders scripted
	listed  []netip.AddrPort
	source  *mirror.Source
}

// newSourceWorld has a source that asks the store at once.
func newSourceWorld(answers map[netip.AddrPort]mirror.Answer) *sourceWorld {
	return newPatientWorld(answers, mirror.Patience{})
}

func newPatientWorld(answers map[netip.AddrPort]mirror.Answer, patience mirror.Patience) *sourceWorld {
	w := &sourceWorld{now: time.Unix(1000, 0), listed: []netip.AddrPort{holderA, holderB, holderC}}
	w.holders = scripted{answers: answers, now: &w.now}
	holders := mirror.NewHolders(func() []netip.AddrPort { return w.listed }, func() time.Time { return w.now })
	bounds := mirror.SourceSettings{Wait: time.Second, MaxAge: 4 * time.Second, Patience: patience}
	w.source = mirror.NewSource(mirror.KindInstances, &w.store, holders, &w.holders, bounds, zap.NewNop())
	return w
}

func (w *sourceWorld) watch(t *testing.T, from int64) follow.Changes {
	t.Helper()
	changes, err := w.source.Watch(context.Background(), from, 2*time.Second)
	assert.NilError(t, err)
	return changes
}

func current(at int64) mirror.Answer { return mirror.Current{Changes: follow.Changes{At: at}} }

func whole(at int64, age time.Duration) mirror.Answer {
	events := []follow.Event{{Object: follow.Object{Name: "main", Revision: at}}}
	return mirror.Current{Changes: follow.Changes{At: at, IsWhole: true, Age: age, Events: events}}
}

// TestHolderThatCantBeReliedOnIsLeft: the next holder is asked within the same
// call, the store itself, from the same revision, once none is left, and later the
// first holder again.
func TestHolderThatCantBeReliedOnIsLeft(t *testing.T) {
	for name, bad := range map[string]mirror.Answer{
		"silent": nil, "lost": mirror.Lost{}, "missed": mirror.Missed{},
		"old": mirror.Current{Changes: follow.Changes{At: 7, Age: 5 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSourceWorld(map[netip.AddrPort]mirror.Answer{holderA: bad, holderB: current(8), holderC: bad})
			assert.Equal(t, w.watch(t, 7).At, int64(8))
			w.holders.answers[holderB] = mirror.Lost{}
			assert.Equal(t, w.watch(t, 8).At, int64(9))
			assert.Equal(t, w.store.watched, 1)
			assert.Equal(t, w.store.from, int64(8))
			w.now = w.now.Add(time.Second)
			w.holders.answers[holderA] = current(10)
			assert.Equal(t, w.watch(t, 9).At, int64(10))
			assert.Equal(t, w.store.watched, 1)
			assert.Equal(t, w.store.listed, 0)
		})
	}
}

// TestSilentHolderIsFollowedByTheStore at once, with the rest of the wait: asking
// another that may be silent too would make the change later than it may be.
func TestSilentHolderIsFollowedByTheStore(t *testing.T) {
	w := newSourceWorld(map[netip.AddrPort]mirror.Answer{holderB: current(8)})
	w.holders.delay = 1400 * time.Millisecond
	assert.Equal(t, w.watch(t, 7).At, int64(9))
	assert.Assert(t, slices.Equal(w.holders.asked, []netip.AddrPort{holderA}), "%v", w.holders.asked)
	assert.Equal(t, w.store.wait, 600*time.Millisecond)
	assert.Equal(t, w.watch(t, 9).At, int64(8))
}

// TestFailingHolderIsAskedEverMoreSeldom, and as at first once it has answered.
func TestFailingHolderIsAskedEverMoreSeldom(t *testing.T) {
	w := newSourceWorld(map[netip.AddrPort]mirror.Answer{holderB: current(8)})
	pauses := func(count int) (found []time.Duration) {
		last := w.now
		for len(found) < count {
			w.holders.asked = nil
			w.watch(t, 7)
			if len(w.holders.asked) > 0 && w.holders.asked[0] == holderA {
				found = append(found, w.now.Sub(last))
				last = w.now
			}
			w.now = w.now.Add(100 * time.Millisecond)
		}
		return found
	}
	assert.DeepEqual(t, pauses(6), []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second})
	w.now = w.now.Add(3 * time.Second)
	w.holders.answers[holderA] = current(8)
	w.watch(t, 7)
	delete(w.holders.answers, holderA)
	assert.DeepEqual(t, pauses(2), []time.Duration{0, 500 * time.Millisecond})
}

// TestListingComesFromAHolder with its age, and from the store itself where the
// holder is lost, old, silent, behind what was seen, or doesn't tell everything.
func TestListingComesFromAHolder(t *testing.T) {
	for name, c := range map[string]struct {
		said   mirror.Answer
		listed int
		age    time.Duration
	}{
		"current": {whole(12, time.Second), 0, time.Second},
		"lost":    {mirror.Lost{}, 1, 0},
		"silent":  {nil, 1, 0},
		"old":     {whole(12, 5*time.Second), 1, 0},
		"behind":  {whole(4, 0), 1, 0},
		"partial": {current(12), 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSourceWorld(map[netip.AddrPort]mirror.Answer{holderA: current(5)})
			assert.Equal(t, w.watch(t, 5).At, int64(5))
			w.holders.answers[holderA] = c.said
			listed, err := w.source.List(context.Background())
			assert.NilError(t, err)
			assert.Equal(t, w.store.listed, c.listed)
			assert.Equal(t, listed.Age, c.age)
			assert.Equal(t, len(listed.Objects), 1)
			assert.Equal(t, listed.At, map[bool]int64{true: 12, false: 9}[c.listed == 0])
		})
	}
}

// TestCallerThatLeavesBlamesNoHolder.
func TestCallerThatLeavesBlamesNoHolder(t *testing.T) {
	w := newSourceWorld(map[netip.AddrPort]mirror.Answer{})
	gone, leave := context.WithCancel(context.Background())
	leave()
	_, err := w.source.Watch(gone, 7, time.Second)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, w.store.watched, 0)
	w.holders.answers[holderA] = current(8)
	assert.Equal(t, w.watch(t, 7).At, int64(8))
}

// TestStoreIsAskedOnlyAfterPatience: later while holders say that they have lost
// the store, again only after as long where it was asked in vain, and at once where there
// are no holders.
func TestStoreIsAskedOnlyAfterPatience(t *testing.T) {
	patience := mirror.Patience{Unreached: time.Second, Lost: 4 * time.Second}
	// A source takes up to twice as long by chance.
	for name, c := range map[string]struct {
		said           mirror.Answer
		least, longest time.Duration
	}{
		"unreached": {nil, time.Second, 2 * time.Second},
		"lost":      {mirror.Lost{}, 4 * time.Second, 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w := newPatientWorld(map[netip.AddrPort]mirror.Answer{holderA: c.said, holderB: c.said, holderC: c.said}, patience)
			w.store.err = errStore
			var pauses []time.Duration
			last := w.now
			for len(pauses) < 3 {
				before := w.store.listed
				_, err := w.source.List(t.Context())
				if w.store.listed > before {
					assert.ErrorIs(t, err, errStore)
					pauses = append(pauses, w.now.Sub(last))
					last = w.now
				}
				w.now = w.now.Add(50 * time.Millisecond)
			}
			for _, pause := range pauses {
				assert.Assert(t, pause >= c.least && pause <= c.longest+50*time.Millisecond, "%v", pauses)
			}
		})
	}
	t.Run("no holders", func(t *testing.T) {
		w := newPatientWorld(nil, patience)
		w.listed = nil
		_, err := w.source.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, w.store.listed, 1)
	})
}

var errStore = errors.New("the store doesn't answer")

// TestStoreThatAnswersIsFollowedUntilAHolderDoes: the patience is for the first call. A
// call or two that the store leaves unanswered, as it cuts held ones now and then, change
// nothing; after more it is asked as seldom as before its first answer.
func TestStoreThatAnswersIsFollowedUntilAHolderDoes(t *testing.T) {
	for name, said := range map[string]mirror.Answer{"unreached": nil, "lost": mirror.Lost{}} {
		t.Run(name, func(t *testing.T) {
			patience := mirror.Patience{Unreached: time.Second, Lost: 4 * time.Second}
			w := newPatientWorld(map[netip.AddrPort]mirror.Answer{holderA: said, holderB: said, holderC: said}, patience)
			asked := func() bool {
				before := w.store.watched
				_, _ = w.source.Watch(t.Context(), 7, 2*time.Second)
				w.now = w.now.Add(50 * time.Millisecond)
				return w.store.watched > before
			}
			assert.Assert(t, !asked())
			w.now = w.now.Add(10 * time.Second)
			for range 20 {
				assert.Assert(t, asked())
			}
			w.store.err = errStore
			assert.Assert(t, asked())
			w.store.err = nil
			assert.Assert(t, asked(), "after one failure")
			w.store.err = follow.ErrHistoryGone
			for range 5 {
				assert.Assert(t, asked(), "a store that has forgotten its history does answer")
			}
			w.store.err = errStore
			assert.Assert(t, asked())
			assert.Assert(t, asked())
			assert.Assert(t, !asked(), "after two failures")
			w.now = w.now.Add(10 * time.Second)
			w.store.err = nil
			assert.Assert(t, asked())
			w.now = w.now.Add(4 * time.Second)
			w.holders.answers[holderB] = current(9)
			assert.Assert(t, !asked(), "a holder answers")
			w.holders.answers[holderB] = said
			assert.Assert(t, !asked(), "and fails again")
		})
	}
}

// TestStoreThatIsFollowedIsAskedAfterAPause: four changes a second would else cost as many
// calls of every node that has lost its holders.
func TestStoreThatIsFollowedIsAskedAfterAPause(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const pause = 800 * time.Millisecond
		store := &countedStore{}
		unreached := &scripted{}
		list := func() []netip.AddrPort { return []netip.AddrPort{holderA} }
		source := mirror.NewSource(mirror.KindInstances, store, mirror.NewHolders(list, time.Now), unreached,
			mirror.SourceSettings{Wait: time.Second, MaxAge: time.Minute, StorePause: pause}, zap.NewNop())
		began := time.Now()
		for range 5 {
			_, err := source.Watch(t.Context(), 7, 2*time.Second)
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(began), 4*pause)
		unreached.answers = map[netip.AddrPort]mirror.Answer{holderA: current(9)}
		time.Sleep(3 * time.Second)
		began = time.Now()
		for range 5 {
			_, err := source.Watch(t.Context(), 9, 2*time.Second)
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(began), time.Duration(0), "a holder is followed without pauses")
	})
}

// TestHolderThatGoesDarkAfterItLostTheStore is waited for like any that is out of reach:
// the longer patience is for holders that answer.
func TestHolderThatGoesDarkAfterItLostTheStore(t *testing.T) {
	patience := mirror.Patience{Unreached: time.Second, Lost: time.Minute}
	w := newPatientWorld(map[netip.AddrPort]mirror.Answer{holderA: mirror.Lost{}}, patience)
	w.listed = []netip.AddrPort{holderA}
	for range 20 {
		_, err := w.source.Watch(t.Context(), 7, time.Second)
		assert.ErrorIs(t, err, follow.ErrNobodyAsked)
		w.now = w.now.Add(250 * time.Millisecond)
	}
	delete(w.holders.answers, holderA)
	w.now = w.now.Add(2 * time.Second)
	assert.Equal(t, w.watch(t, 7).At, int64(9))
}

// TestOnlyTheFirstHolderOfACallHoldsIt: while one that went dark is found out, changes are
// kept back; the next ones are asked for what they can tell at once, as is every one while
// the store itself is followed.
func TestOnlyTheFirstHolderOfACallHoldsIt(t *testing.T) {
	w := newPatientWorld(map[netip.AddrPort]mirror.Answer{holderC: current(8)}, mirror.Patience{Unreached: time.Minute})
	w.watch(t, 7)
	assert.DeepEqual(t, w.holders.waits, []time.Duration{time.Second, 0, 0})
	clear(w.holders.answers)
	w.now = w.now.Add(2 * time.Minute)
	w.watch(t, 8)
	w.holders.waits = nil
	w.now = w.now.Add(time.Second)
	w.watch(t, 9)
	assert.DeepEqual(t, w.holders.waits, []time.Duration{0, 0, 0})
}

// TestOneCallAsksFewHolders: those that lose all holders at once go on with the
// others after a pause of their followers.
func TestOneCallAsksFewHolders(t *testing.T) {
	w := newPatientWorld(map[netip.AddrPort]mirror.Answer{}, mirror.Patience{Unreached: time.Second, Lost: time.Second})
	w.listed = nil
	for index := range 20 {
		holder := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(index)}), 1)
		w.listed = append(w.listed, holder)
		w.holders.answers[holder] = mirror.Lost{}
	}
	_, err := w.source.Watch(t.Context(), 7, time.Second)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(w.holders.asked), 2, "that have lost the store")
	w.now = w.now.Add(time.Minute)
	clear(w.holders.answers)
	w.holders.asked = nil
	_, err = w.source.Watch(t.Context(), 7, time.Second)
	assert.NilError(t, err, "the store is asked after a minute")
	assert.Equal(t, len(w.holders.asked), 4, "that are out of reach")
}

// TestHolderThatRegainsTheStoreIsFoundSoon: one that answered that it has lost the
// store is asked again within 250 ms, however often it said so before.
func TestHolderThatRegainsTheStoreIsFoundSoon(t *testing.T) {
	w := newPatientWorld(map[netip.AddrPort]mirror.Answer{holderA: mirror.Lost{}}, mirror.Patience{Lost: time.Minute})
	w.listed = []netip.AddrPort{holderA}
	for range 20 {
		_, err := w.source.List(t.Context())
		assert.Assert(t, err != nil)
		w.now = w.now.Add(250 * time.Millisecond)
	}
	w.holders.answers[holderA] = whole(12, 0)
	listed, err := w.source.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, listed.At, int64(12))
}

// TestFailuresOfOneMomentCountOnce: a node follows several kinds through the same
// holders. Where one of these refuses connections for a moment, all kinds notice, and
// it must not be avoided for as long as one that went on failing.
func TestFailuresOfOneMomentCountOnce(t *testing.T) {
	w := newPatientWorld(map[netip.AddrPort]mirror.Answer{}, mirror.Patience{Unreached: time.Minute, Lost: time.Minute})
	holders := mirror.NewHolders(func() []netip.AddrPort { return w.listed }, func() time.Time { return w.now })
	bounds := mirror.SourceSettings{Wait: time.Second, MaxAge: 4 * time.Second, Patience: mirror.Patience{Unreached: time.Minute, Lost: time.Minute}}
	var sources []*mirror.Source
	for _, kind := range mirror.Kinds() {
		sources = append(sources, mirror.NewSource(kind, &w.store, holders, &w.holders, bounds, zap.NewNop()))
	}
	w.holders.together = &sync.WaitGroup{}
	w.holders.together.Add(len(sources))
	w.listed = []netip.AddrPort{holderA}
	var calls sync.WaitGroup
	for _, source := range sources {
		calls.Go(func() {
			_, err := source.Watch(context.Background(), 7, time.Second)
			assert.Check(t, errors.Is(err, follow.ErrNobodyAsked))
		})
	}
	calls.Wait()
	w.holders.together = nil
	w.holders.answers[holderA] = current(8)
	w.now = w.now.Add(600 * time.Millisecond)
	changes, err := sources[0].Watch(context.Background(), 7, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, changes.At, int64(8))
}
