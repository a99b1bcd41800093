package reach_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/reach"
)

// clock is a clock that tests advance.
type clock struct{ now time.Time }

func (c *clock) advance(span time.Duration) { c.now = c.now.Add(span) }

func newTracker() (*clock, *reach.Tracker) {
	c := &clock{now: time.Unix(1000, 0)}
	return c, reach.New(func() time.Time { return c.now })
}

// TestFailedPeerIsAvoided checks that a peer is asked last for a while after it failed, or
// until it responds.
func TestFailedPeerIsAvoided(t *testing.T) {
	c, tracker := newTracker()
	assert.Assert(t, !tracker.IsAvoided("a"))
	tracker.RecordFailure("a")
	assert.Assert(t, tracker.IsAvoided("a"))
	assert.Assert(t, !tracker.IsAvoided("b"))
	tracker.RecordResponse("b")
	assert.Assert(t, tracker.IsAvoided("a"), "the response came from another peer")
	tracker.RecordResponse("a")
	assert.Assert(t, !tracker.IsAvoided("a"))
	tracker.RecordFailure("a")
	c.advance(2 * time.Second)
	assert.Assert(t, !tracker.IsAvoided("a"))
}

// TestCutOff checks that a node is cut off once several requests have failed and no peer has
// responded for a while, until a peer responds.
func TestCutOff(t *testing.T) {
	c, tracker := newTracker()
	tracker.RecordResponse("a")
	assert.Assert(t, !tracker.IsCutOff())
	c.advance(time.Hour)
	assert.Assert(t, !tracker.IsCutOff(), "a node without requests isn't cut off")
	tracker.RecordFailure("a")
	tracker.RecordFailure("b")
	assert.Assert(t, !tracker.IsCutOff(), "too few requests have failed")
	tracker.RecordFailure("a")
	assert.Assert(t, tracker.IsCutOff())
	tracker.RecordResponse("b")
	for range 5 {
		tracker.RecordFailure("a")
	}
	assert.Assert(t, !tracker.IsCutOff(), "another peer has just responded")
	c.advance(time.Second)
	assert.Assert(t, tracker.IsCutOff())
	tracker.RecordResponse("a")
	assert.Assert(t, !tracker.IsCutOff())
}

// TestNewTrackerIsNotCutOff checks that a node that hasn't sent any requests isn't cut off.
func TestNewTrackerIsNotCutOff(t *testing.T) {
	_, tracker := newTracker()
	assert.Assert(t, !tracker.IsCutOff())
}
