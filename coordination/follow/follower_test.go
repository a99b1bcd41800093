package follow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/test/bubble"
)

// scriptedSource answers each call with the next step, and blocks once there is none.
type scriptedSource struct {
	steps []func() (Snapshot, Changes, error)
	calls []string
}

func (s *scriptedSource) next(ctx context.Context, call string) (Snapshot, Changes, error) {
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		<-ctx.Done()
		return Snapshot{}, Changes{}, ctx.Err()
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step()
}

func (s *scriptedSource) List(ctx context.Context) (Snapshot, error) {
	snapshot, _, err := s.next(ctx, "list")
	return snapshot, err
}

func (s *scriptedSource) Watch(ctx context.Context, from int64, _ time.Duration) (Changes, error) {
	_, changes, err := s.next(ctx, fmt.Sprint("watch ", from))
	return changes, err
}

func listStep(at int64, objects ...Object) func() (Snapshot, Changes, error) {
	return func() (Snapshot, Changes, error) { return Snapshot{Objects: objects, At: at}, Changes{}, nil }
}

func changeStep(at int64, events ...Event) func() (Snapshot, Changes, error) {
	return func() (Snapshot, Changes, error) { return Snapshot{}, Changes{Events: events, At: at}, nil }
}

func errorStep(err error) func() (Snapshot, Changes, error) {
	return func() (Snapshot, Changes, error) { return Snapshot{}, Changes{}, err }
}

// runScript runs a follower through all steps. It returns the calls to the source and the
// names and revisions of the objects at each Apply.
func runScript(steps ...func() (Snapshot, Changes, error)) (calls []string, applied [][]string) {
	source := &scriptedSource{steps: steps}
	ctx, cancel := context.WithCancel(context.Background())
	settings := Settings{ListTimeout: time.Minute, WatchWait: time.Minute, WatchGrace: time.Minute, MinBackoff: 1, MaxBackoff: 1}
	follower := New(Options{
		Name: "things", Source: source, Settings: settings, Logger: zap.NewNop(), Now: time.Now,
		Apply: func(snapshot Snapshot) {
			var names []string
			for _, object := range snapshot.Objects {
				names = append(names, fmt.Sprint(object.Name, object.Revision))
			}
			applied = append(applied, names)
		},
	})
	for len(source.steps) > 0 {
		if err := follower.step(ctx); err != nil {
			follower.recordFailure(err)
		}
	}
	cancel()
	_ = follower.Serve(ctx)
	return source.calls, applied
}

func object(name string, revision int64) Object { return Object{Name: name, Revision: revision} }

func Example() {
	calls, applied := runScript(
		listStep(5, object("a", 3)),
		changeStep(7, Event{Object: object("b", 7)}),
		changeStep(9, Event{Object: object("a", 9), Deleted: true}),
	)
	fmt.Println(calls)
	fmt.Println(applied)
	// Output:
	// [list watch 5 watch 7]
	// [[a3] [a3 b7] [b7]]
}

// TestFailedWatchListsAgain guards against changes lost with a failed response.
func TestFailedWatchListsAgain(t *testing.T) {
	for name, err := range map[string]error{"cut": errors.New("cut"), "history gone": ErrHistoryCompacted} {
		calls, applied := runScript(listStep(5, object("a", 3)), errorStep(err), listStep(9, object("b", 8)), changeStep(10))
		assert.DeepEqual(t, calls, []string{"list", "watch 5", "list", "watch 9"})
		assert.Assert(t, slices.EqualFunc(applied, [][]string{{"a3"}, {"b8"}}, slices.Equal), "%s: %v", name, applied)
	}
}

// TestOutdatedListingIsIgnored guards against going back to a delayed, older listing.
func TestOutdatedListingIsIgnored(t *testing.T) {
	_, applied := runScript(listStep(5, object("a", 5)), errorStep(errors.New("cut")), listStep(4, object("a", 2)), listStep(6, object("a", 5)))
	assert.DeepEqual(t, applied, [][]string{{"a5"}, {"a5"}})
}

// TestOldOrRepeatedEventChangesNothing guards against older events that overwrite newer
// objects, and against needless Apply calls.
func TestOldOrRepeatedEventChangesNothing(t *testing.T) {
	_, applied := runScript(listStep(5, object("a", 5)),
		changeStep(6, Event{Object: object("a", 4)}, Event{Object: object("a", 5)}, Event{Object: object("a", 4), Deleted: true}),
		changeStep(7, Event{Object: object("none", 7), Deleted: true}),
		changeStep(8, Event{Object: object("a", 8)}))
	assert.DeepEqual(t, applied, [][]string{{"a5"}, {"a8"}})
}

// TestViewAgeIsThatOfTheAppliedView guards against a view that counts as confirmed just now though
// the answer that confirmed it holds changes that aren't applied yet, or is older than the view.
func TestViewAgeIsThatOfTheAppliedView(t *testing.T) {
	const silence = time.Minute
	for name, next := range map[string]func() (Snapshot, Changes, error){
		"list": listStep(7, object("a", 7)), "watch": changeStep(7, Event{Object: object("a", 7)}), "outdated list": listStep(4, object("a", 2)),
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			var follower *Follower
			follower = New(Options{
				Source: &scriptedSource{steps: []func() (Snapshot, Changes, error){listStep(5, object("a", 5)), next}},
				Logger: zap.NewNop(), Now: func() time.Time { return now },
				Settings: Settings{ListTimeout: time.Minute, WatchWait: time.Minute, WatchGrace: time.Minute},
				Apply: func(snapshot Snapshot) {
					if age, isKnown := follower.ViewAge(); isKnown {
						assert.Equal(t, age, silence, "revision %d isn't applied yet", snapshot.At)
					}
				},
			})
			assert.NilError(t, follower.step(t.Context()))
			now = now.Add(silence)
			follower.relist = name != "watch"
			isApplied := follower.step(t.Context()) == nil
			assert.Equal(t, isApplied, name != "outdated list")
			age, isKnown := follower.ViewAge()
			assert.Assert(t, isKnown)
			assert.Equal(t, age == 0, isApplied, "age %v", age)
		})
	}
}

// TestUnresponsiveStoreIsDetected checks that a watch without an answer times out.
func TestUnresponsiveStoreIsDetected(t *testing.T) {
	source := &scriptedSource{steps: []func() (Snapshot, Changes, error){listStep(5)}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	settings := Settings{ListTimeout: 1, WatchWait: 1, WatchGrace: 1, MinBackoff: 1, MaxBackoff: 1}
	follower := New(Options{Source: source, Settings: settings, Logger: zap.NewNop(), Now: time.Now, Apply: func(Snapshot) {}})
	assert.NilError(t, follower.step(ctx))
	assert.ErrorIs(t, follower.step(ctx), context.DeadlineExceeded)
	age, answered := follower.Age()
	assert.Assert(t, answered && age >= 0)
}

// TestViewMatchesStore checks that a view that receives random batches of changes, some
// of them repeatedly, ends in the state of the store.
func TestViewMatchesStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Event
		state := make(map[string]Object)
		revision := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			revision++
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			_, exists := state[name]
			gone := exists && rapid.Bool().Draw(t, "gone")
			history = append(history, Event{Object: object(name, revision), Deleted: gone})
			state[name] = object(name, revision)
			if gone {
				delete(state, name)
			}
		}
		var copied view
		copied.replace(Snapshot{At: 0})
		for from := 0; from < len(history); {
			repeated := rapid.IntRange(0, from).Draw(t, "again")
			to := rapid.IntRange(from+1, len(history)).Draw(t, "to")
			copied.applyChanges(Changes{Events: history[repeated:to], At: int64(to)})
			from = to
		}
		var want []Object
		for _, current := range state {
			want = append(want, current)
		}
		slices.SortFunc(want, func(a, b Object) int { return int(a.Name[0]) - int(b.Name[0]) })
		got := copied.snapshot()
		assert.Equal(t, got.At, revision)
		assert.Equal(t, len(got.Objects), len(want))
		for index := range want {
			assert.Equal(t, got.Objects[index].Name, want[index].Name)
			assert.Equal(t, got.Objects[index].Revision, want[index].Revision)
		}
	})
}

// TestWholeChangesReplaceTheView checks that whole changes delete the objects that they
// don't list, and that older ones are ignored.
func TestWholeChangesReplaceTheView(t *testing.T) {
	whole := func(at int64, objects ...Object) func() (Snapshot, Changes, error) {
		changes := Changes{At: at, IsFull: true}
		for _, one := range objects {
			changes.Events = append(changes.Events, Event{Object: one})
		}
		return func() (Snapshot, Changes, error) { return Snapshot{}, changes, nil }
	}
	calls, applied := runScript(listStep(5, object("a", 3), object("b", 4)), whole(4, object("a", 3)), whole(8, object("a", 7)), changeStep(9))
	assert.DeepEqual(t, calls, []string{"list", "watch 5", "watch 5", "watch 8"})
	assert.DeepEqual(t, applied, [][]string{{"a3", "b4"}, {"a7"}})
}

// TestNoListingWithoutQuery checks that ErrNotQueried causes no new listing, while any
// other failure does.
func TestNoListingWithoutQuery(t *testing.T) {
	calls, _ := runScript(listStep(7), errorStep(fmt.Errorf("no holder: %w", ErrNotQueried)), changeStep(9), errorStep(errors.New("cut")), listStep(9))
	assert.DeepEqual(t, calls[:5], []string{"list", "watch 7", "watch 7", "watch 9", "list"})
}

// firstCallHangs is a source that doesn't answer the first listing.
type firstCallHangs struct{ calls int }

func (s *firstCallHangs) List(ctx context.Context) (Snapshot, error) {
	s.calls++
	if s.calls == 1 {
		<-ctx.Done()
		return Snapshot{}, ctx.Err()
	}
	return Snapshot{At: 1, Objects: []Object{{Name: "a", Revision: 1}}}, nil
}

func (s *firstCallHangs) Watch(context.Context, int64, time.Duration) (Changes, error) {
	return Changes{}, errors.New("unexpected watch")
}

// TestPolledSourceProvesRequestTime checks that the proof is of the time of the request,
// not of the response, and that a listing without an answer ends when the next is due.
func TestPolledSourceProvesRequestTime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const interval = 500 * time.Millisecond
		source := NewPollingSource(&firstCallHangs{}, interval, time.Now)
		start := time.Now()
		_, err := source.List(t.Context())
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), interval)
		requested := time.Now()
		snapshot, err := source.List(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, snapshot.FreshAt.Equal(requested))
		time.Sleep(interval / 5)
		changes, err := source.Watch(t.Context(), 1, time.Hour)
		assert.NilError(t, err)
		assert.Assert(t, changes.FreshAt.Equal(requested.Add(interval)))
		assert.Assert(t, changes.IsFull)
	})
}
