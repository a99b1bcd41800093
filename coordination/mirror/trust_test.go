package mirror

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/follow"
)

func TestTrusted(t *testing.T) {
	const maxAge = 2 * time.Second
	aged := func(age time.Duration) Answer { return Current{Changes: follow.Changes{At: 7, Age: age}} }
	cases := []struct {
		name    string
		said    Answer
		want    error
		useless bool
	}{
		{"just confirmed", aged(0), nil, false},
		{"confirmed as long ago as is allowed", aged(maxAge), nil, false},
		{"confirmed too long ago", aged(maxAge + 1), errHolderOld, true},
		{"has lost the store", Lost{}, errHolderLost, true},
		{"doesn't follow the kind", Missed{}, errHolderMissed, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			changes, err := trusted(c.said, maxAge)
			assert.Equal(t, err, c.want)
			assert.Equal(t, changes.At == 7, c.want == nil)
			assert.Equal(t, isUseless(err), c.useless)
		})
	}
	assert.Assert(t, isUseless(errHolderBehind))
	assert.Assert(t, !isUseless(errors.New("connection refused")))
}

func TestRoundGoesOn(t *testing.T) {
	cases := []struct {
		name          string
		holders, lost int
		took          time.Duration
		mayAskStore   bool
		want          bool
	}{
		{"begins", 0, 0, 0, true, true},
		{"three didn't answer", 3, 0, 0, true, true},
		{"four didn't answer", 4, 0, 0, false, false},
		{"one has lost the store", 1, 1, 0, false, true},
		{"two have lost the store", 2, 2, 0, false, false},
		{"long, and the store may be asked", 1, 0, 200 * time.Millisecond, true, false},
		{"long, and the store may not be asked", 1, 0, 200 * time.Millisecond, false, true},
		{"not yet long", 1, 0, 199 * time.Millisecond, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			asked := round{holders: c.holders, lost: c.lost, took: c.took, mayAskStore: func() bool { return c.mayAskStore }}
			assert.Equal(t, asked.goesOn(), c.want)
		})
	}
}

func TestAvoidance(t *testing.T) {
	start := time.Unix(1000, 0)
	var a avoidance
	assert.Assert(t, a.isOver(start))
	at := start
	for _, want := range []time.Duration{500, 1000, 2000, 3000, 3000} {
		a = a.unanswered(at)
		assert.Equal(t, a.until.Sub(at), want*time.Millisecond)
		assert.Equal(t, a.unanswered(a.until.Add(-1)), a, "a failure of the same time counts once")
		at = a.until
		assert.Assert(t, a.isOver(at))
	}
	a = a.useless(at)
	assert.Equal(t, a.until.Sub(at), 250*time.Millisecond)
	assert.Equal(t, a.unanswered(a.until).length, 500*time.Millisecond)
}

// gateStep is what a gate is told at a moment, and whether it is open then.
type gateStep struct {
	at     time.Duration
	tell   func(g *gate, now time.Time)
	isOpen bool
}

func TestGate(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	look := func(*gate, time.Time) {}
	answered := func(g *gate, now time.Time) { g.holderAnswered(now) }
	lost := func(g *gate, now time.Time) { g.holderFailed(now, errHolderLost) }
	silent := func(g *gate, now time.Time) { g.holderFailed(now, errors.New("connection refused")) }
	store := func(g *gate, now time.Time) { g.storeAnswered(now) }
	noStore := func(g *gate, now time.Time) { g.storeFailed(now) }
	// The patience is 1 s without any holder, and 4 s while holders answer that they have
	// lost the store.
	cases := map[string][]gateStep{
		"holders are waited for": {
			{0, look, false}, {999 * ms, silent, false}, {1000 * ms, look, true},
		},
		"a holder answers": {
			{900 * ms, answered, false}, {1800 * ms, look, false}, {1900 * ms, look, true},
		},
		"holders have lost the store": {
			{0, lost, false}, {900 * ms, lost, false}, {1800 * ms, lost, false}, {2700 * ms, lost, false},
			{3600 * ms, lost, false}, {3999 * ms, look, false}, {4000 * ms, look, true},
		},
		"holders have lost the store and go": {
			{500 * ms, lost, false}, {1499 * ms, silent, false}, {1500 * ms, silent, true},
		},
		"the store is followed until a holder answers": {
			{1000 * ms, store, true}, {1001 * ms, lost, true}, {5000 * ms, store, true}, {5001 * ms, answered, false},
		},
		"one call at the store may fail": {
			{1000 * ms, store, true}, {1500 * ms, noStore, true}, {2000 * ms, store, true},
		},
		"two calls in a row may not": {
			{1000 * ms, store, true}, {1500 * ms, noStore, true}, {2000 * ms, noStore, false}, {2999 * ms, look, false},
			{3000 * ms, look, true},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			g := gate{patience: Patience{Unreached: time.Second, Lost: 4 * time.Second}, stretch: 1, since: start}
			for _, step := range steps {
				now := start.Add(step.at)
				step.tell(&g, now)
				assert.Equal(t, g.isOpen(now), step.isOpen, "%s", step.at)
			}
		})
	}
}
