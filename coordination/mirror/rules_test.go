package mirror

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/follow"
)

func TestUsableChanges(t *testing.T) {
	const maxAge = 2 * time.Second
	aged := func(age time.Duration) WatchAnswer { return Changed{Changes: follow.Changes{At: 7, Age: age}} }
	cases := []struct {
		name     string
		answer   WatchAnswer
		want     error
		unusable bool
	}{
		{"just confirmed", aged(0), nil, false},
		{"confirmed at the limit", aged(maxAge), nil, false},
		{"confirmed too long ago", aged(maxAge + 1), errHolderStale, true},
		{"has lost the store", StoreLost{}, errHolderLost, true},
		{"doesn't follow the kind", NotFollowed{}, errHolderNotFollowing, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			changes, err := usableChanges(c.answer, maxAge)
			assert.Equal(t, err, c.want)
			assert.Equal(t, changes.At == 7, c.want == nil)
			assert.Equal(t, isUnusable(err), c.unusable)
		})
	}
	assert.Assert(t, isUnusable(errHolderBehind))
	assert.Assert(t, !isUnusable(errors.New("connection refused")))
}

func TestHolderAttempts(t *testing.T) {
	cases := []struct {
		name         string
		failed, lost int
		elapsed      time.Duration
		mayAskStore  bool
		want         bool
	}{
		{"first holder", 0, 0, 0, true, true},
		{"three didn't answer", 3, 0, 0, true, true},
		{"four didn't answer", 4, 0, 0, false, false},
		{"one has lost the store", 1, 1, 0, false, true},
		{"two have lost the store", 2, 2, 0, false, false},
		{"time limit reached, and the store may be asked", 1, 0, 200 * time.Millisecond, true, false},
		{"time limit reached, and the store may not be asked", 1, 0, 200 * time.Millisecond, false, true},
		{"time limit not reached", 1, 0, 199 * time.Millisecond, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			attempts := holderAttempts{failed: c.failed, lost: c.lost, elapsed: c.elapsed, mayAskStore: func() bool { return c.mayAskStore }}
			assert.Equal(t, attempts.mayContinue(), c.want)
		})
	}
}

func TestBackoff(t *testing.T) {
	start := time.Unix(1000, 0)
	var b backoff
	assert.Assert(t, b.hasExpired(start))
	at := start
	for _, want := range []time.Duration{500, 1000, 2000, 3000, 3000} {
		b = b.afterFailure(at)
		assert.Equal(t, b.until.Sub(at), want*time.Millisecond)
		assert.Equal(t, b.afterFailure(b.until.Add(-1)), b, "a failure during the backoff doesn't extend it")
		at = b.until
		assert.Assert(t, b.hasExpired(at))
	}
	b = b.afterUnusable(at)
	assert.Equal(t, b.until.Sub(at), 250*time.Millisecond)
	assert.Equal(t, b.afterFailure(b.until).delay, 500*time.Millisecond)
}

// gateStep is an event at a gate, and whether the gate is open afterwards.
type gateStep struct {
	at     time.Duration
	apply  func(g *storeGate, now time.Time)
	isOpen bool
}

func TestStoreGate(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	noEvent := func(*storeGate, time.Time) {}
	holderAnswered := func(g *storeGate, now time.Time) { g.holderAnswered(now) }
	holderLost := func(g *storeGate, now time.Time) { g.holderFailed(now, errHolderLost) }
	holderSilent := func(g *storeGate, now time.Time) { g.holderFailed(now, errors.New("connection refused")) }
	storeAnswered := func(g *storeGate, now time.Time) { g.storeAnswered(now) }
	storeFailed := func(g *storeGate, now time.Time) { g.storeFailed(now) }
	// The delay is 1 s while holders are unreachable, and 4 s while they answer that they
	// have lost the store.
	cases := map[string][]gateStep{
		"holders are unreachable": {
			{0, noEvent, false}, {999 * ms, holderSilent, false}, {1000 * ms, noEvent, true},
		},
		"a holder answers": {
			{900 * ms, holderAnswered, false}, {1800 * ms, noEvent, false}, {1900 * ms, noEvent, true},
		},
		"holders have lost the store": {
			{0, holderLost, false}, {900 * ms, holderLost, false}, {1800 * ms, holderLost, false}, {2700 * ms, holderLost, false},
			{3600 * ms, holderLost, false}, {3999 * ms, noEvent, false}, {4000 * ms, noEvent, true},
		},
		"holders have lost the store and become unreachable": {
			{500 * ms, holderLost, false}, {1499 * ms, holderSilent, false}, {1500 * ms, holderSilent, true},
		},
		"the store is followed until a holder answers": {
			{1000 * ms, storeAnswered, true}, {1001 * ms, holderLost, true}, {5000 * ms, storeAnswered, true}, {5001 * ms, holderAnswered, false},
		},
		"one call to the store fails": {
			{1000 * ms, storeAnswered, true}, {1500 * ms, storeFailed, true}, {2000 * ms, storeAnswered, true},
		},
		"two calls to the store in a row fail": {
			{1000 * ms, storeAnswered, true}, {1500 * ms, storeFailed, true}, {2000 * ms, storeFailed, false}, {2999 * ms, noEvent, false},
			{3000 * ms, noEvent, true},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			g := storeGate{delays: FallbackDelays{HoldersUnreachable: time.Second, StoreLost: 4 * time.Second}, jitterFactor: 1, delayStart: start}
			for _, step := range steps {
				now := start.Add(step.at)
				step.apply(&g, now)
				assert.Equal(t, g.isOpen(now), step.isOpen, "%s", step.at)
			}
		})
	}
}
