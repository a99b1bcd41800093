package mirror_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/state/replica"
)

// TestMain sets the default seed and number of checks of the property tests. Flags override
// them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// fakeUpstream is an upstream in a fixed state.
type fakeUpstream struct {
	age    time.Duration
	lost   bool
	proved time.Time
}

func (u *fakeUpstream) Age() (time.Duration, bool) { return u.age, true }
func (u *fakeUpstream) IsLost() bool               { return u.lost }
func (u *fakeUpstream) FreshAt() time.Time         { return u.proved }

// history holds the state of the store at each revision: the names of the objects with the
// revisions of their last changes.
type history []map[string]int64

// drawHistory generates a history in which objects are created, changed and removed, and some
// are created again under the same name.
func drawHistory(rt *rapid.T) history {
	states := history{{}}
	for range rapid.IntRange(1, 40).Draw(rt, "changes") {
		next := maps.Clone(states[len(states)-1])
		name := fmt.Sprint("n", rapid.IntRange(0, 5).Draw(rt, "name"))
		if _, exists := next[name]; exists && rapid.Bool().Draw(rt, "remove") {
			delete(next, name)
		} else {
			next[name] = int64(len(states))
		}
		states = append(states, next)
	}
	return states
}

func (h history) snapshot(at int64) follow.Snapshot {
	taken := follow.Snapshot{At: at}
	for name, revision := range h[at] {
		taken.Objects = append(taken.Objects, follow.Object{Name: name, Revision: revision})
	}
	return taken
}

// applyChanges applies changes to the known objects as a follower does.
func applyChanges(known map[string]int64, changes follow.Changes) {
	for _, event := range changes.Events {
		revision, exists := known[event.Object.Name]
		switch {
		case exists && event.Object.Revision < revision:
		case event.Deleted:
			delete(known, event.Object.Name)
		default:
			known[event.Object.Name] = event.Object.Revision
		}
	}
}

// TestChangesReproduceStoreState checks that a holder's changes turn any earlier state into its
// own, and leave a newer state as it is.
func TestChangesReproduceStoreState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		states := drawHistory(rt)
		last := int64(len(states) - 1)
		holder, err := mirror.NewHolder(mirror.PersistedKinds(), replica.NewMemory(), time.Now, zap.NewNop())
		assert.NilError(rt, err)
		holder.SetUpstream(mirror.KindInstances, &fakeUpstream{})
		at := rapid.Int64Range(0, last).Draw(rt, "first revision of the holder")
		holder.Update(mirror.KindInstances, states.snapshot(at))
		revisions := []int64{at}
		for range rapid.IntRange(0, 10).Draw(rt, "updates") {
			at = rapid.Int64Range(at, last).Draw(rt, "next revision of the holder")
			holder.Update(mirror.KindInstances, states.snapshot(at))
			revisions = append(revisions, at)
		}
		from := rapid.Int64Range(0, last).Draw(rt, "known revision")
		known := maps.Clone(states[from])
		switch answer := holder.Watch(context.Background(), mirror.KindInstances, from, 0).(type) {
		case mirror.Changed:
			if answer.Changes.IsFull {
				assert.Assert(rt, from < at && !slices.Contains(revisions, from), "unexpected whole snapshot for revision %d; the holder had %v", from, revisions)
				clear(known)
			}
			applyChanges(known, answer.Changes)
			assert.Equal(rt, answer.Changes.At, max(from, at))
			assert.DeepEqual(rt, known, states[max(from, at)])
		default:
			rt.Fatalf("unexpected answer %T", answer)
		}
	})
}

// TestOldRemovalsAreForgotten checks that a caller at a revision before the oldest recorded
// removal is sent the whole snapshot.
func TestOldRemovalsAreForgotten(t *testing.T) {
	holder := newHolder(t, replica.NewMemory())
	holder.SetUpstream(mirror.KindInstances, &fakeUpstream{})
	const removals = 600
	for at := int64(1); at <= removals+1; at++ {
		holder.Update(mirror.KindInstances, follow.Snapshot{At: at, Objects: []follow.Object{{Name: fmt.Sprint(at), Revision: at}}})
	}
	watch := func(from int64) mirror.WatchAnswer {
		return holder.Watch(context.Background(), mirror.KindInstances, from, 0)
	}
	early, isCurrent := watch(10).(mirror.Changed)
	assert.Assert(t, isCurrent && early.Changes.IsFull)
	recent, isCurrent := watch(removals - 10).(mirror.Changed)
	assert.Assert(t, isCurrent && !recent.Changes.IsFull)
	assert.Equal(t, len(recent.Changes.Events), 12)
}

// TestLossIsReportedAtOnce checks that the loss of the store ends a waiting call.
func TestLossIsReportedAtOnce(t *testing.T) {
	holder := newHolder(t, replica.NewMemory())
	upstream := &fakeUpstream{}
	holder.SetUpstream(mirror.KindConfiguration, upstream)
	holder.Update(mirror.KindConfiguration, snapshot(5))
	answers := make(chan mirror.WatchAnswer, 1)
	go func() { answers <- holder.Watch(context.Background(), mirror.KindConfiguration, 5, time.Hour) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		holder.NotifyLost(mirror.KindConfiguration)
		return poll.Success()
	})
	// A wake-up without a loss doesn't end the call.
	select {
	case answer := <-answers:
		t.Fatalf("unexpected answer %T", answer)
	case <-time.After(20 * time.Millisecond):
	}
	lostUpstream := &fakeUpstream{lost: true}
	holder.SetUpstream(mirror.KindConfiguration, lostUpstream)
	holder.NotifyLost(mirror.KindConfiguration)
	_, isLost := (<-answers).(mirror.StoreLost)
	assert.Assert(t, isLost)
}
