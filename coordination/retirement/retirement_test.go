package retirement_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/retirement"
	"github.com/marblering/marblering/test/bubble"
)

// sets are the replica sets that a node knows. All of them are held by their members.
type sets struct {
	shards uint32
	views  []register.View
}

func (s *sets) Shards() uint32                                   { return s.shards }
func (s *sets) Views() []register.View                           { return s.views }
func (s *sets) HoldsAllData(context.Context, register.View) bool { return true }

// reports are the states that were reported.
type reports struct{ states []retirement.State }

func (r *reports) Report(_ context.Context, _ string, state retirement.State) error {
	r.states = append(r.states, state)
	return nil
}

func viewOf(shard uint32, incarnations ...string) register.View {
	view := register.View{Shard: shard, Epoch: 2}
	for _, incarnation := range incarnations {
		view.Members = append(view.Members, register.Member{Node: incarnation, Incarnation: incarnation})
	}
	return view
}

// TestUnknownSetIsNoProofOfDrain guards against a node that is reported as drained, and taken
// away with its disk, while it doesn't know the members of each set, as after its start.
func TestUnknownSetIsNoProofOfDrain(t *testing.T) {
	for _, c := range []struct {
		name  string
		known sets
		want  retirement.State
	}{
		{"no sets", sets{}, retirement.Running},
		{"no views", sets{shards: 2}, retirement.Running},
		{"one of two views", sets{shards: 2, views: []register.View{viewOf(0, "b", "c", "d")}}, retirement.Running},
		{"member", sets{shards: 2, views: []register.View{viewOf(0, "b", "c", "d"), viewOf(1, "a", "b", "c")}}, retirement.Running},
		{"drained", sets{shards: 2, views: []register.View{viewOf(0, "b", "c", "d"), viewOf(1, "b", "c", "d")}}, retirement.Completed},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				reported := &reports{}
				service := retirement.New(retirement.Options{
					Node: "a", Incarnation: "a", Sets: &c.known, SetLeaving: func(bool) {}, Reporter: reported, Logger: zap.NewNop(),
				})
				service.Apply([]retirement.Order{{Node: "a"}})
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_ = service.Serve(ctx)
				assert.DeepEqual(t, reported.states, []retirement.State{c.want})
			})
		})
	}
}

// slowSets are replica sets whose members take some time to tell that they hold the data.
type slowSets struct{ sets }

func (s *slowSets) HoldsAllData(ctx context.Context, _ register.View) bool {
	select {
	case <-time.After(100 * time.Millisecond):
		return true
	case <-ctx.Done():
		return false
	}
}

// TestSlowSetsKeepNoDrainFromCompletion guards against a node that is never reported as drained, since each
// check asks the members of all sets anew and ends before the last one.
func TestSlowSetsKeepNoDrainFromCompletion(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		known := &slowSets{sets{shards: 16}}
		for shard := range known.shards {
			known.views = append(known.views, viewOf(shard, "b", "c", "d"))
		}
		reported := &reports{}
		service := retirement.New(retirement.Options{
			Node: "a", Incarnation: "a", Sets: known, SetLeaving: func(bool) {}, Reporter: reported, Logger: zap.NewNop(),
		})
		service.Apply([]retirement.Order{{Node: "a"}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_ = service.Serve(ctx)
		assert.DeepEqual(t, reported.states, []retirement.State{retirement.Completed})
	})
}
