package engine

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func reasonOf(err error) Reason {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}

// prompt returns a request with a one-segment prompt of its own.
func prompt(id uint64, tokens, output int) Request {
	return Request{
		ID:           id,
		Program:      "p",
		Model:        "m",
		Path:         []Segment{{ID: id, Tokens: tokens}},
		OutputID:     1000 + id,
		OutputTokens: output,
	}
}

// latency runs one request on an idle engine of a generation.
func latency(t *testing.T, generation Generation, slowdown float64) time.Duration {
	c := NewCore(CoreOptions{Generation: generation, Models: testModels})
	c.SetSlowdown(0, slowdown)
	assert.NilError(t, c.Submit(0, prompt(1, 2000, 100)))
	finished := finishedOf(finish(c))
	assert.Equal(t, len(finished), 1)
	return finished[0].At
}

func TestNewerGenerationsAreFaster(t *testing.T) {
	previous := time.Hour
	for _, generation := range generations {
		took := latency(t, generation, 1)
		assert.Assert(t, took < previous, "%s took %v", generation.Name, took)
		slowed := latency(t, generation, 2)
		assert.Assert(t, slowed > took*19/10 && slowed < took*21/10)
		previous = took
	}
}

func TestDecodeTimeFollowsTheTable(t *testing.T) {
	generation := generations[2]
	c := NewCore(CoreOptions{Generation: generation, Models: testModels})
	assert.NilError(t, c.Submit(0, prompt(1, 1, 101)))
	events := finish(c)
	assert.Equal(t, len(events), 2)
	step := generation.StepBase + generation.StepPerSequence
	got := events[1].At - events[0].At
	assert.Assert(t, (got-100*step).Abs() < time.Microsecond, "%v", got)
}

func TestBatchSlowsEachSequenceButNotTheWhole(t *testing.T) {
	alone := latency(t, generations[2], 1)
	c := NewCore(CoreOptions{Generation: generations[2], Models: testModels})
	for id := range uint64(8) {
		assert.NilError(t, c.Submit(0, prompt(id, 2000, 100)))
	}
	finished := finishedOf(finish(c))
	last := finished[len(finished)-1].At
	assert.Assert(t, last > alone)
	assert.Assert(t, last < 8*alone)
}

// TestRolesMoveTimeBetweenPrefillAndDecode decodes beside a prompt that takes
// longer.
func TestRolesMoveTimeBetweenPrefillAndDecode(t *testing.T) {
	run := func(role Role) (firstToken, decoded time.Duration) {
		c := NewCore(CoreOptions{Generation: generations[2], Models: testModels})
		assert.NilError(t, c.Order(0, Order{Action: SetRole, Role: role}))
		assert.NilError(t, c.Submit(0, prompt(1, 1, 60)))
		assert.NilError(t, c.Submit(0, prompt(2, 200_000, 1)))
		for _, event := range finish(c) {
			switch {
			case event.ID == 1 && event.Kind == Finished:
				decoded = event.At
			case event.ID == 2 && event.Kind == FirstToken:
				firstToken = event.At
			}
		}
		return firstToken, decoded
	}
	mixedFirst, mixedDecoded := run(RoleMixed)
	prefillFirst, prefillDecoded := run(RolePrefill)
	decodeFirst, decodeDecoded := run(RoleDecode)
	assert.Assert(t, prefillFirst < mixedFirst && mixedFirst < decodeFirst)
	assert.Assert(t, decodeDecoded < mixedDecoded && mixedDecoded < prefillDecoded)
}

func TestPriorityIsServedFirst(t *testing.T) {
	generation := generations[2]
	generation.MaxBatch = 1
	c := NewCore(CoreOptions{Generation: generation, Models: testModels})
	for id, priority := range []uint32{5, 9, 1, 5, 1} {
		request := prompt(uint64(id), 100, 10)
		request.Priority = priority
		assert.NilError(t, c.Submit(0, request))
	}
	var order []uint64
	for _, event := range finishedOf(finish(c)) {
		order = append(order, event.ID)
	}
	assert.DeepEqual(t, order, []uint64{0, 2, 4, 3, 1})
}

func TestNextTurnIsCachedUpToWholeBlocks(t *testing.T) {
	c := newTestCore(1024)
	first := prompt(1, 100, 50)
	assert.NilError(t, c.Submit(0, first))
	finish(c)
	second := first
	second.ID = 2
	second.Path = append(first.Path[:1:1], Segment{ID: first.OutputID, Tokens: 50}, Segment{ID: 7, Tokens: 30})
	assert.NilError(t, c.Submit(c.now, second))
	assert.Equal(t, finishedOf(finish(c))[0].Usage, Usage{PromptTokens: 180, CachedTokens: 144, OutputTokens: 50})
	repeat := first
	repeat.ID = 3
	assert.NilError(t, c.Submit(c.now, repeat))
	assert.Equal(t, finishedOf(finish(c))[0].Usage.CachedTokens, 96)
}

// TestLastBlockOfAPromptIsComputed repeats a prompt that is cached as a whole:
// its last token has to be computed to get the first one of the answer.
func TestLastBlockOfAPromptIsComputed(t *testing.T) {
	c := newTestCore(1024)
	for _, cached := range []int{0, 80} {
		assert.NilError(t, c.Submit(c.now, prompt(1, 96, 8)))
		assert.Equal(t, finishedOf(finish(c))[0].Usage.CachedTokens, cached)
	}
}

func TestHeldContextOutlivesOthers(t *testing.T) {
	c := newTestCore(64 * BlockTokens)
	for id := uint64(1); id <= 6; id++ {
		request := prompt(id, 200, 56)
		request.Hold = id == 1
		assert.NilError(t, c.Submit(c.now, request))
		finish(c)
	}
	assert.DeepEqual(t, c.Holds(c.now), []HeldContext{{Program: "p", Tokens: 256}})
	assert.Assert(t, c.cache.match(rootName{model: testModels[0]}.key(), []Segment{{ID: 2, Tokens: 200}}) == nil)

	// A request that needs all memory gets it: holds favour, they don't pin.
	assert.NilError(t, c.Submit(c.now, prompt(9, 60*BlockTokens, 64)))
	assert.Equal(t, len(finishedOf(finish(c))), 1)
	assert.Equal(t, len(c.Holds(c.now)), 0)
}

func TestReleaseDuringARequestLeavesNothingHeld(t *testing.T) {
	c := newTestCore(1024)
	request := prompt(1, 200, 50)
	request.Hold = true
	assert.NilError(t, c.Submit(0, request))
	c.Release(time.Millisecond, "p")
	finish(c)
	assert.Equal(t, len(c.Holds(c.now)), 0)
	assert.Equal(t, c.cache.held, 0)
}

func TestCoreRefusals(t *testing.T) {
	c := newTestCore(1024)
	for id := range uint64(8 + 4) {
		assert.NilError(t, c.Submit(0, prompt(id, 100, 10)))
	}
	other := prompt(50, 10, 10)
	other.Model = "other"
	assert.Equal(t, reasonOf(c.Submit(0, prompt(50, 10, 10))), IsFull)
	assert.Equal(t, reasonOf(c.Submit(0, prompt(3, 10, 10))), InUse)
	assert.Equal(t, reasonOf(c.Submit(0, other)), NotLoaded)
	assert.Equal(t, reasonOf(c.Submit(0, prompt(50, 1020, 10))), TooLarge)
	assert.Equal(t, reasonOf(c.Submit(0, prompt(50, 0, 10))), Invalid)
	assert.Equal(t, reasonOf(c.Submit(0, prompt(50, -1, 10))), Invalid)
	c.Drain(0)
	assert.Equal(t, reasonOf(c.Submit(0, prompt(50, 10, 10))), IsLeaving)
	assert.Equal(t, len(finishedOf(finish(c))), 12)
}

func TestCancelFreesTheBatch(t *testing.T) {
	generation := generations[2]
	generation.MaxBatch = 1
	c := NewCore(CoreOptions{Generation: generation, Models: testModels})
	assert.NilError(t, c.Submit(0, prompt(1, 100, 1000)))
	assert.NilError(t, c.Submit(0, prompt(2, 100, 10)))
	at := 2 * time.Second
	produced, _ := c.Produced(at, 1)
	assert.Assert(t, produced > 10 && produced < 1000)
	assert.Assert(t, c.Cancel(at, 1))
	assert.Assert(t, !c.Cancel(at, 1))
	finished := finishedOf(finish(c))
	assert.Equal(t, finished[0].Outcome, Cancelled)
	assert.Equal(t, finished[0].At, at)
	assert.Equal(t, finished[0].Usage.OutputTokens, produced)
	assert.Equal(t, finished[1].Outcome, Completed)
	assert.Equal(t, c.cache.private, 0)
}

func TestImportTakesTimeAndIsHeld(t *testing.T) {
	from, to := newTestCore(1024), newTestCore(1024)
	request := prompt(1, 320, 64)
	request.Hold = true
	assert.NilError(t, from.Submit(0, request))
	finish(from)
	exported, length, err := from.Export(from.now, "p")
	assert.NilError(t, err)
	assert.Equal(t, exported.Tokens, 384)
	assert.Assert(t, length > 0)
	assert.NilError(t, to.Import(0, 9, "p", exported))
	events := finish(to)
	assert.Equal(t, events[0].Kind, Imported)
	assert.Equal(t, events[0].At, length)
	assert.DeepEqual(t, to.Holds(to.now), []HeldContext{{Program: "p", Tokens: 384}})
	exported.Model.Version = "2"
	assert.Equal(t, reasonOf(to.Import(to.now, 10, "q", exported)), NotLoaded)
}

func TestOrdersTakeTimeAndAreFenced(t *testing.T) {
	c := NewCore(CoreOptions{
		Generation:   generations[2],
		Models:       testModels,
		LoadDuration: func(time.Duration, Loaded) time.Duration { return 5 * time.Second },
	})
	newer := Loaded{Name: "m", Version: "2"}
	assert.NilError(t, c.Order(0, Order{Fence: 3, Action: LoadModel, Item: newer}))
	assert.Equal(t, reasonOf(c.Order(0, Order{Fence: 2, Action: UnloadModel, Item: newer})), OldFence)
	assert.Equal(t, reasonOf(c.Order(0, Order{Fence: 9, Action: SetRole, Role: "other"})), Invalid)
	assert.DeepEqual(t, c.Status(4*time.Second).Models, testModels)
	status := c.Status(5 * time.Second)
	assert.DeepEqual(t, status.Models, []Loaded{newer})
	assert.Equal(t, status.Fence, uint64(3))

	// A newer order overtakes a load that is under way.
	assert.NilError(t, c.Order(6*time.Second, Order{Fence: 4, Action: LoadModel, Item: Loaded{Name: "n", Version: "1"}}))
	assert.NilError(t, c.Order(7*time.Second, Order{Fence: 5, Action: UnloadModel, Item: Loaded{Name: "n"}}))
	assert.DeepEqual(t, c.Status(time.Minute).Models, []Loaded{newer})
}

func TestFailedLoadChangesNothing(t *testing.T) {
	c := newTestCore(1024)
	item := Loaded{Name: "n", Version: "1"}
	assert.NilError(t, c.Order(0, Order{Action: LoadModel, Item: item}))
	assert.Equal(t, c.Advance(0)[0].Kind, LoadStarted)
	c.FinishLoad(time.Second, item, true)
	assert.DeepEqual(t, c.Status(time.Second).Models, testModels)
	assert.Equal(t, len(c.Status(time.Second).Loading), 0)
	assert.NilError(t, c.Order(0, Order{Action: LoadModel, Item: item}))
	c.FinishLoad(time.Second, item, false)
	assert.Equal(t, len(c.Status(time.Second).Models), 2)
}

func TestLoadLags(t *testing.T) {
	c := newTestCore(1024)
	assert.NilError(t, c.Submit(time.Millisecond, prompt(1, 100, 500)))
	assert.Equal(t, c.Load(900*time.Millisecond).Running, 0)
	load := c.Load(1100 * time.Millisecond)
	assert.Equal(t, load.Running, 1)
	assert.Assert(t, load.OutstandingTokens > 0 && load.OutstandingTokens < 500)
	c.SetSlowdown(1200*time.Millisecond, 4)
	slow := c.Load(3500 * time.Millisecond)
	assert.Assert(t, slow.DecodeRate < load.DecodeRate/3)
}

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	c := NewCore(CoreOptions{Generation: generations[2], Models: testModels, CacheEventLoss: 0.5, Seed: 1})
	for id := range uint64(40) {
		assert.NilError(t, c.Submit(c.now, prompt(id, 100, 10)))
		finish(c)
		for _, event := range c.CacheEvents(c.now, 0) {
			assert.Assert(t, event.At <= c.now-DefaultCacheEventDelay)
		}
	}
	events := c.CacheEvents(c.now+time.Minute, 0)
	assert.Assert(t, len(events) > 5 && len(events) < 35)
	last := events[len(events)-1]
	assert.Assert(t, last.Number > uint64(len(events)))
	assert.Equal(t, last.Tokens, 96)
	assert.Equal(t, len(c.CacheEvents(c.now, last.Number)), 0)
}

func TestSameCallsGiveSameEvents(t *testing.T) {
	run := func() []Event {
		c := newTestCore(1024)
		for id := range uint64(10) {
			_ = c.Submit(time.Duration(id)*time.Millisecond, prompt(id, 50+int(id), 40))
		}
		return finish(c)
	}
	assert.DeepEqual(t, run(), run())
}
