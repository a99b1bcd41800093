package routing_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/coordination/routing"
)

func TestLocalityTakesInEvents(t *testing.T) {
	const lag = 2 * time.Second
	stored := func(number, tokens uint64) routing.Event {
		return routing.Event{Number: number, Kind: routing.EventStored, Program: "p", Tokens: tokens}
	}
	evicted := func(number, tokens uint64) routing.Event {
		return routing.Event{Number: number, Kind: routing.EventEvicted, Program: "p", Tokens: tokens}
	}
	cases := []struct {
		name string
		// answered at testTime unless zero
		answered uint64
		after    time.Duration
		events   []routing.Event
		want     uint64
	}{
		{"stored by another node", 0, 0, []routing.Event{stored(1, 500)}, 500},
		{"an old event counts for nothing", 0, 0, []routing.Event{stored(2, 500), stored(1, 900)}, 500},
		{"evicted in part", 0, 0, []routing.Event{stored(1, 500), evicted(2, 200)}, 200},
		{"evicted whole", 0, 0, []routing.Event{stored(1, 500), evicted(2, 0)}, 0},
		{"an answer beats an event that may be older", 800, time.Second, []routing.Event{evicted(1, 0)}, 800},
		{"an event surely later beats the answer", 800, 3 * time.Second, []routing.Event{evicted(1, 0)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			locality := routing.NewLocality(10, lag)
			if c.answered > 0 {
				locality.Answered("p", "e", c.answered, testTime)
			}
			for _, event := range c.events {
				locality.Observe("e", event, testTime.Add(c.after))
			}
			var tokens uint64
			for _, cached := range locality.CachedOn("p") {
				tokens += cached.Tokens
			}
			assert.Equal(t, tokens, c.want)
		})
	}
}

func TestMissingEvictionsLowerWhatIsKnown(t *testing.T) {
	locality := routing.NewLocality(100, time.Second)
	for i := range 10 {
		locality.Answered(fmt.Sprint("p", i), "e", 800, testTime)
	}
	later := testTime.Add(time.Minute)
	for _, number := range []uint64{1, 7} {
		locality.Observe("e", routing.Event{Number: number, Kind: routing.EventEvicted, Program: "other"}, later)
	}
	assert.DeepEqual(t, locality.CachedOn("p3"), []routing.Cached{{Engine: "e", Tokens: 400}})
	locality.Answered("p3", "e", 900, later)
	assert.DeepEqual(t, locality.CachedOn("p3"), []routing.Cached{{Engine: "e", Tokens: 900}})
}

func TestCachedOnTakesTheLongest(t *testing.T) {
	locality := routing.NewLocality(100, time.Second)
	locality.Answered("program", "a", 900, testTime)
	locality.Answered("prefix", "a", 500, testTime)
	locality.Answered("prefix", "b", 500, testTime)
	want := []routing.Cached{{Engine: "a", Tokens: 900}, {Engine: "b", Tokens: 500}}
	assert.DeepEqual(t, locality.CachedOn("program", "prefix"), want)
}

func TestLocalityIsBounded(t *testing.T) {
	locality := routing.NewLocality(100, time.Second)
	for i := range 1000 {
		locality.Answered(fmt.Sprint(i), "e", 10, testTime)
		locality.CachedOn("0")
	}
	assert.Equal(t, locality.Len(), 100)
	assert.Equal(t, len(locality.CachedOn("0")), 1, "the one in use was dropped")
	locality.ForgetEngine("e")
	assert.Equal(t, locality.Len(), 0)
}

// TestLedgerMatchesModel compares the ledger with a plain list of entries.
func TestLedgerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := routing.NewLedger()
		inFlight := make(map[string]routing.Work)
		now := testTime
		for i := range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			name := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "request"))
			_, running := inFlight[name]
			switch {
			case !running:
				work := routing.Work{Requests: 1, PromptTokens: rapid.Uint64Range(0, 1000).Draw(t, "tokens")}
				ledger.Reserve("e", name, work, now)
				inFlight[name] = work
			case rapid.Bool().Draw(t, "prefilled"):
				ledger.Prefilled("e", name)
				inFlight[name] = routing.Work{Requests: 1}
			default:
				ledger.Release("e", name, now)
				ledger.Release("e", name, now)
				delete(inFlight, name)
			}
		}
		var want routing.Work
		for _, work := range inFlight {
			want.Requests += work.Requests
			want.PromptTokens += work.PromptTokens
		}
		pending := ledger.Pending("e", testTime)
		assert.Equal(t, pending.InFlight, want)
		assert.Equal(t, pending.Added, want)
		assert.Equal(t, ledger.Pending("e", now).Added, routing.Work{})
	})
}

func TestLedgerKnowsWhatFinishedSinceAReport(t *testing.T) {
	ledger := routing.NewLedger()
	work := routing.Work{Requests: 1, PromptTokens: 100}
	ledger.Reserve("e", "old", work, testTime)
	reported := testTime.Add(time.Second)
	ledger.Reserve("e", "new", work, reported.Add(time.Second))
	ledger.Release("e", "old", reported.Add(2*time.Second))
	pending := ledger.Pending("e", reported)
	assert.DeepEqual(t, pending, routing.PendingWork{InFlight: work, Added: work, Finished: work})
}

func TestSpeedsFollowChange(t *testing.T) {
	speeds := routing.NewSpeeds()
	observe := func(tokens uint64) {
		speeds.Observe("e", routing.Observation{ComputedTokens: tokens, PrefillTime: time.Second, OutputTokens: 20, DecodeTime: time.Second})
	}
	observe(4000)
	assert.Equal(t, speeds.Of("e"), routing.Speed{Prefill: 4000, Decode: 20, Step: routing.StepTime{Base: 0.05}, IdleStep: 0.05})
	for range 30 {
		observe(1000)
	}
	assert.Assert(t, speeds.Of("e").Prefill < 1100)
	observe(1)
	assert.Assert(t, speeds.Of("e").Prefill < 1100, "a short sample was taken")
	speeds.Forget("e")
	assert.Equal(t, speeds.Of("e"), routing.Speed{})
}

func TestSpeedsLearnTheStepTime(t *testing.T) {
	speeds := routing.NewSpeeds()
	for i := range 200 {
		running := 1 + i%8
		step := 20*time.Millisecond + time.Duration(running)*5*time.Millisecond
		speeds.Observe("e", routing.Observation{OutputTokens: 100, DecodeTime: 100 * step, Running: running})
	}
	learned := speeds.Of("e").Step
	assert.Assert(t, math.Abs(learned.Base-0.020) < 1e-6, "%v", learned)
	assert.Assert(t, math.Abs(learned.PerRequest-0.005) < 1e-6, "%v", learned)
}
