package reach_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/reach"
)

// clock is moved by hand.
type clock struct{ now time.Time }

func (c *clock) pass(span time.Duration) { c.now = c.now.Add(span) }

func newTracker() (*clock, *reach.Tracker) {
	c := &clock{now: time.Unix(1000, 0)}
	return c, reach.New(func() time.Time { return c.now })
}

// TestPeerThatFailedIsAvoided: a peer is asked last for a while after it failed, or until
// it answers.
func TestPeerThatFailedIsAvoided(t *testing.T) {
	c, tracker := newTracker()
	assert.Assert(t, !tracker.IsAvoided("a"))
	tracker.Failed("a")
	assert.Assert(t, tracker.IsAvoided("a"))
	assert.Assert(t, !tracker.IsAvoided("b"))
	tracker.Heard("b")
	assert.Assert(t, tracker.IsAvoided("a"), "another's answer says nothing of it")
	tracker.Heard("a")
	assert.Assert(t, !tracker.IsAvoided("a"))
	tracker.Failed("a")
	c.pass(2 * time.Second)
	assert.Assert(t, !tracker.IsAvoided("a"))
}

// TestCutOff: a node is cut off once several requests have failed and nobody has
// answered for a while; one answer ends that.
func TestCutOff(t *testing.T) {
	c, tracker := newTracker()
	tracker.Heard("a")
	assert.Assert(t, !tracker.IsCutOff())
	c.pass(time.Hour)
	assert.Assert(t, !tracker.IsCutOff(), "a node without requests isn't cut off")
	tracker.Failed("a")
	tracker.Failed("b")
	assert.Assert(t, !tracker.IsCutOff(), "two failures may be two peers")
	tracker.Failed("a")
	assert.Assert(t, tracker.IsCutOff())
	tracker.Heard("b")
	for range 5 {
		tracker.Failed("a")
	}
	assert.Assert(t, !tracker.IsCutOff(), "another answers")
	c.pass(time.Second)
	assert.Assert(t, tracker.IsCutOff())
	tracker.Heard("a")
	assert.Assert(t, !tracker.IsCutOff())
}

// TestStartIsNoCut: a node that hasn't reached anyone yet is cut off only once
// its requests have failed.
func TestStartIsNoCut(t *testing.T) {
	_, tracker := newTracker()
	assert.Assert(t, !tracker.IsCutOff())
}
