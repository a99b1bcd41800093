package expiry_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/expiry"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/state/turn"
)

// fixture is a replica's store of turns with a manual clock.
type fixture struct {
	store *expiry.Store
	disk  *replica.Memory
	now   time.Time
	codec *turn.Codec
}

func newFixture() *fixture {
	f := &fixture{disk: replica.NewMemory(), now: time.Unix(1_000_000, 0)}
	f.codec, _ = turn.NewCodec()
	f.restart()
	return f
}

// restart replaces the store by a new one for the same disk.
func (f *fixture) restart() {
	f.store, _ = expiry.NewStore(expiry.Options{
		Store: f.disk, Shards: func() uint32 { return 2 }, Now: func() time.Time { return f.now }, Logger: zap.NewNop(),
	})
}

func (f *fixture) put(shard uint32, id string, ancestors ...string) (missing []string) {
	return f.putFor(time.Minute, shard, id, ancestors...)
}

func (f *fixture) putFor(retention time.Duration, shard uint32, id string, ancestors ...string) (missing []string) {
	object, digest, _ := f.codec.Encode(&statev1.RetainedTurn{Id: id, Ancestors: ancestors, RetentionMs: retention.Milliseconds()})
	missing, _ = f.store.PutTurnOfChain(shard, replica.Turn{Program: id, Sequence: 1, Digest: digest, Object: object})
	return missing
}

// collectAfter advances the clock, collects, and returns the remaining turns.
func (f *fixture) collectAfter(passed time.Duration) []string {
	f.now = f.now.Add(passed)
	_ = f.store.Collect(context.Background())
	var remaining []string
	for shard := range uint32(2) {
		_ = f.store.EachTurn(shard, func(stored replica.Turn) error {
			remaining = append(remaining, stored.Program)
			return nil
		})
	}
	return remaining
}

func Example() {
	f := newFixture()
	f.put(0, "a")
	fmt.Println(f.collectAfter(0), f.collectAfter(time.Minute), f.collectAfter(3*time.Minute))
	// Output: [a] [a] []
}

// TestLineIsKeptWhileContinued guards against expired ancestors of a line that is still
// continued, also if its turns are in different shards.
func TestLineIsKeptWhileContinued(t *testing.T) {
	f := newFixture()
	f.put(0, "a")
	line := []string{"a"}
	for index := range 6 {
		assert.Equal(t, len(f.collectAfter(2*time.Minute)), len(line))
		id := fmt.Sprint("b", index)
		f.put(1, id, line...)
		line = append(line, id)
	}
	f.put(0, "alone")
	assert.Equal(t, len(f.collectAfter(0)), len(line)+1)
	assert.Equal(t, len(f.collectAfter(2*time.Minute)), len(line)+1)
	assert.Equal(t, len(f.collectAfter(2*time.Minute)), 0)
}

func TestNoTurnIsDeletedWithinItsRetention(t *testing.T) {
	f := newFixture()
	f.put(0, "a")
	f.collectAfter(0)
	for passed := time.Duration(0); passed <= time.Minute; passed += 5 * time.Second {
		assert.Equal(t, len(f.collectAfter(5*time.Second)), 1)
	}
}

func TestDamagedTurnIsKeptForDefaultRetention(t *testing.T) {
	f := newFixture()
	assert.NilError(t, f.store.PutTurn(0, replica.Turn{Program: "a", Sequence: 1, Object: []byte("damaged")}))
	f.collectAfter(0)
	assert.Equal(t, len(f.collectAfter(5*time.Minute)), 1)
	assert.Equal(t, len(f.collectAfter(time.Hour)), 0)
}

// TestTurnExpiresAfterItsTime checks the exact time after which a turn expires.
func TestTurnExpiresAfterItsTime(t *testing.T) {
	f := newFixture()
	f.put(0, "a")
	assert.Equal(t, len(f.collectAfter(0)), 1)
	assert.Equal(t, len(f.collectAfter(3*time.Minute+30*time.Second)), 1)
	assert.Equal(t, len(f.collectAfter(time.Nanosecond)), 0)
}

// TestAncestorIsKeptForTheRetentionOfItsDescendant guards against the deletion of a turn of a
// short retention that a turn of a longer one continues, whichever is stored first.
func TestAncestorIsKeptForTheRetentionOfItsDescendant(t *testing.T) {
	for _, isAncestorFirst := range []bool{true, false} {
		f := newFixture()
		if isAncestorFirst {
			f.putFor(time.Second, 0, "a")
		}
		f.putFor(10*time.Minute, 0, "b", "a")
		if !isAncestorFirst {
			f.putFor(time.Second, 0, "a")
		}
		assert.Equal(t, len(f.collectAfter(30*time.Minute)), 2)
		assert.Equal(t, len(f.collectAfter(time.Minute)), 0)
	}
}

// TestMissingAncestorsAreNamed checks which ancestors a shard lacks: those that another shard
// stores, and those that were deleted.
func TestMissingAncestorsAreNamed(t *testing.T) {
	f := newFixture()
	assert.DeepEqual(t, f.put(0, "a"), []string(nil))
	assert.DeepEqual(t, f.put(1, "b", "a"), []string{"a"})
	assert.DeepEqual(t, f.put(0, "c", "a", "b"), []string{"b"})
	f.put(0, "b", "a")
	assert.DeepEqual(t, f.put(0, "d", "a", "b", "c"), []string(nil))
	f.collectAfter(10 * time.Minute)
	assert.DeepEqual(t, f.put(0, "e", "a", "b", "c", "d"), []string{"a", "b", "c", "d"})
	assert.NilError(t, f.store.DropShard(0))
	assert.DeepEqual(t, f.put(0, "f", "e"), []string{"e"})
}

// TestRestartKeepsTurnsForOneMoreRetention guards against turns that a restart deletes before
// their descendants are read, and against turns that no collection finds after it.
func TestRestartKeepsTurnsForOneMoreRetention(t *testing.T) {
	f := newFixture()
	f.putFor(time.Second, 0, "a")
	f.putFor(time.Minute, 1, "b", "a")
	f.restart()
	assert.DeepEqual(t, f.put(0, "c", "a"), []string(nil))
	assert.Equal(t, len(f.collectAfter(0)), 3)
	assert.Equal(t, len(f.collectAfter(3*time.Minute+30*time.Second)), 3)
	assert.Equal(t, len(f.collectAfter(time.Nanosecond)), 0)
}

// TestFoundAncestorIsNotDeletedMeanwhile guards against a collection that deletes an ancestor
// while a descendant is stored: it is either named as missing or stays.
func TestFoundAncestorIsNotDeletedMeanwhile(t *testing.T) {
	for range 200 {
		f := newFixture()
		f.put(0, "a")
		f.now = f.now.Add(time.Hour)
		var missing []string
		var running sync.WaitGroup
		running.Go(func() { missing = f.put(0, "b", "a") })
		running.Go(func() { _ = f.store.Collect(context.Background()) })
		running.Wait()
		held := 0
		assert.NilError(t, f.disk.ReadTurns(0, "a", 0, func(replica.Turn) error { held++; return nil }))
		assert.Equal(t, held+len(missing), 1)
	}
}

// hookedStore calls a function before the first read of a turn.
type hookedStore struct {
	replica.Store
	beforeRead sync.Once
	hook       func()
}

func (s *hookedStore) ReadTurns(shard uint32, id string, from uint64, visit func(replica.Turn) error) error {
	s.beforeRead.Do(s.hook)
	return s.Store.ReadTurns(shard, id, from, visit)
}

// TestTurnsOfAShardThatIsLoadedMeanwhileAreKept guards against the deletion of turns that were
// stored before the start and whose shard a collection comes to know only while it runs.
func TestTurnsOfAShardThatIsLoadedMeanwhileAreKept(t *testing.T) {
	f := newFixture()
	f.put(0, "a")
	f.put(1, "b")
	hooked := &hookedStore{Store: f.disk, hook: func() { f.put(1, "c") }}
	f.store, _ = expiry.NewStore(expiry.Options{
		Store: hooked, Shards: func() uint32 { return 1 }, Now: func() time.Time { return f.now }, Logger: zap.NewNop(),
	})
	f.now = f.now.Add(time.Hour)
	assert.Equal(t, len(f.collectAfter(0)), 3)
}

// TestLackingAncestorsAreNamedUntilTheyAreStored checks for how long an ancestor counts as
// lacking: from the grace after its descendant on, until it is stored or not needed.
func TestLackingAncestorsAreNamedUntilTheyAreStored(t *testing.T) {
	f := newFixture()
	f.put(0, "b", "a")
	assert.Equal(t, len(f.store.Lacking()), 0)
	f.now = f.now.Add(5 * time.Second)
	assert.DeepEqual(t, f.store.Lacking(), map[uint32][]string{0: {"a"}})
	f.put(1, "a")
	assert.DeepEqual(t, f.store.Lacking(), map[uint32][]string{0: {"a"}})
	f.put(0, "a")
	assert.Equal(t, len(f.store.Lacking()), 0)
	f.put(1, "c", "b")
	f.now = f.now.Add(5 * time.Second)
	assert.DeepEqual(t, f.store.Lacking(), map[uint32][]string{1: {"b"}})
	assert.NilError(t, f.store.DropShard(1))
	assert.Equal(t, len(f.store.Lacking()), 0)
	f.put(1, "d", "c")
	f.collectAfter(10 * time.Minute)
	assert.Equal(t, len(f.store.Lacking()), 0)
}

// TestAncestorsLackingOnTheDiskAreNamed guards against chains that stay incomplete after a
// restart.
func TestAncestorsLackingOnTheDiskAreNamed(t *testing.T) {
	f := newFixture()
	f.put(0, "b", "a")
	f.restart()
	f.collectAfter(0)
	f.collectAfter(5 * time.Second)
	assert.DeepEqual(t, f.store.Lacking(), map[uint32][]string{0: {"a"}})
}

// failingStore fails to delete one turn.
type failingStore struct {
	replica.Store
	failing string
}

func (s *failingStore) DeleteTurns(shard uint32, id string) error {
	if id == s.failing {
		return errors.New("not deleted")
	}
	return s.Store.DeleteTurns(shard, id)
}

// TestTurnDeletedBesideAFailureIsMissing guards against turns that count as stored after they
// were deleted, since the deletion of another turn failed at the same time.
func TestTurnDeletedBesideAFailureIsMissing(t *testing.T) {
	f := newFixture()
	f.store, _ = expiry.NewStore(expiry.Options{
		Store: &failingStore{Store: f.disk, failing: "b"}, Shards: func() uint32 { return 2 }, Now: func() time.Time { return f.now }, Logger: zap.NewNop(),
	})
	f.put(0, "a")
	f.put(0, "b")
	assert.DeepEqual(t, f.collectAfter(time.Hour), []string{"b"})
	assert.DeepEqual(t, f.put(0, "c", "a", "b"), []string{"a"})
}

// putOfRoute stores a turn of a route in shard 0.
func (f *fixture) putOfRoute(route string, retention time.Duration, id string, ancestors ...string) {
	object, digest, _ := f.codec.Encode(&statev1.RetainedTurn{Id: id, Ancestors: ancestors, RetentionMs: retention.Milliseconds(), Route: route})
	_ = f.store.PutTurn(0, replica.Turn{Program: id, Sequence: 1, Digest: digest, Object: object})
}

// TestRaisedRetentionHoldsForStoredTurns guards against the deletion of turns that were stored
// before the retention of their route was raised, whether the node learns of that before or
// after it restarts, and whether or not the route was removed meanwhile.
func TestRaisedRetentionHoldsForStoredTurns(t *testing.T) {
	raised := map[string]time.Duration{"desk": 10 * time.Minute, "other": time.Minute}
	for name, change := range map[string]func(f *fixture){
		"raised":                        func(f *fixture) { f.store.SetRetentions(raised) },
		"raised before a restart":       func(f *fixture) { f.store.SetRetentions(raised); f.restart(); f.store.SetRetentions(raised) },
		"known again after the restart": func(f *fixture) { f.restart(); f.collectAfter(0); f.store.SetRetentions(raised) },
		"removed and added": func(f *fixture) {
			f.store.SetRetentions(map[string]time.Duration{"other": time.Minute})
			f.store.SetRetentions(raised)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.store.SetRetentions(map[string]time.Duration{"desk": time.Second, "other": time.Minute})
			f.putOfRoute("desk", time.Second, "a")
			f.putOfRoute("desk", time.Second, "b", "a")
			f.now = f.now.Add(time.Second)
			change(f)
			assert.Equal(t, len(f.collectAfter(10*time.Minute)), 2)
			assert.Equal(t, len(f.collectAfter(31*time.Minute)), 0)
		})
	}
}

// TestRetentionRaisedBelowAnEarlierOneHolds guards against the deletion of turns of a short
// retention that was raised, since other turns of their route have a longer one.
func TestRetentionRaisedBelowAnEarlierOneHolds(t *testing.T) {
	f := newFixture()
	f.store.SetRetentions(map[string]time.Duration{"desk": time.Hour})
	f.putOfRoute("desk", time.Hour, "a")
	f.store.SetRetentions(map[string]time.Duration{"desk": time.Second})
	f.putOfRoute("desk", time.Second, "b")
	f.store.SetRetentions(map[string]time.Duration{"desk": 10 * time.Minute})
	assert.Equal(t, len(f.collectAfter(10*time.Minute)), 2)
	assert.DeepEqual(t, f.collectAfter(31*time.Minute), []string{"a"})
}

// TestLoweredRetentionHoldsForLaterTurns guards against the deletion of turns that were stored
// before the retention of their route was lowered, or the route removed.
func TestLoweredRetentionHoldsForLaterTurns(t *testing.T) {
	for _, retentions := range []map[string]time.Duration{{"desk": time.Second}, {}} {
		f := newFixture()
		f.store.SetRetentions(map[string]time.Duration{"desk": 10 * time.Minute})
		f.putOfRoute("desk", 10*time.Minute, "a")
		f.store.SetRetentions(retentions)
		assert.Equal(t, len(f.collectAfter(10*time.Minute)), 1)
		assert.Equal(t, len(f.collectAfter(30*time.Minute)), 0)
	}
}

// TestUnchangedRetentionsReadNothing guards against a node that reads all stored turns again
// whenever the configuration changes.
func TestUnchangedRetentionsReadNothing(t *testing.T) {
	f := newFixture()
	reads := 0
	hooked := &countingStore{Store: f.disk, reads: &reads}
	f.store, _ = expiry.NewStore(expiry.Options{
		Store: hooked, Shards: func() uint32 { return 2 }, Now: func() time.Time { return f.now }, Logger: zap.NewNop(),
	})
	f.store.SetRetentions(map[string]time.Duration{"desk": time.Minute})
	f.putOfRoute("desk", time.Minute, "a")
	f.store.SetRetentions(map[string]time.Duration{"desk": time.Minute, "new": time.Hour})
	f.store.SetRetentions(map[string]time.Duration{"desk": time.Second})
	f.store.SetRetentions(map[string]time.Duration{"desk": time.Minute})
	f.collectAfter(time.Second)
	assert.Equal(t, reads, 0)
}

// countingStore counts the reads of turns.
type countingStore struct {
	replica.Store
	reads *int
}

func (s *countingStore) ReadTurns(shard uint32, id string, from uint64, visit func(replica.Turn) error) error {
	*s.reads++
	return s.Store.ReadTurns(shard, id, from, visit)
}

// TestVeryLongRetentionIsKept guards against a turn that is deleted at once since its retention,
// or that of its route, is longer than times can be.
func TestVeryLongRetentionIsKept(t *testing.T) {
	const years = 365 * 24 * time.Hour
	for _, retention := range []time.Duration{50 * years, 100 * years, 200 * years, math.MaxInt64} {
		f := newFixture()
		f.putFor(retention, 0, "a")
		f.store.SetRetentions(map[string]time.Duration{"desk": retention})
		f.putOfRoute("desk", time.Second, "b")
		assert.Equal(t, len(f.collectAfter(time.Hour)), 2, retention)
		assert.Equal(t, len(f.collectAfter(5*years)), 2, retention)
	}
}
