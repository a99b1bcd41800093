package quarantine

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/bubble"
)

// sendAt is a send to an instance whose exchange has ended after the time.
func sendAt(id SendID, instance string, took time.Duration) Send {
	return Send{Fingerprint: request, ID: id, Instance: instance, SentAgo: took, Lifetime: time.Minute}
}

// TestSendsWithoutOutcomeCountUntilResolved guards against a send that counts after its instance
// has shown that it runs, or doesn't count before.
func TestSendsWithoutOutcomeCountUntilResolved(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	before, after := table.NoteSend(sendAt(1, "i-1", time.Second))
	assert.Equal(t, before.Suspected, 0)
	assert.Equal(t, after.Suspected, 1)
	assert.Equal(t, after.Crashes, 0)
	c.now = c.now.Add(time.Second)
	_, after = table.NoteSend(sendAt(2, "i-2", time.Second))
	assert.Equal(t, after.Suspected, 2)
	table.DropSend(request, 1)
	assert.Equal(t, table.Find(request).Suspected, 1)
	table.DropSend(request, 2)
	assert.DeepEqual(t, table.Find(request), Record{Fingerprint: request, IsResolved: true})
}

// TestSendsAtOneProcessCountOnce guards against a harmless request that is refused since its
// client left one instance several times.
func TestSendsAtOneProcessCountOnce(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	for id := range SendID(3) {
		c.now = c.now.Add(time.Second)
		_, after := table.NoteSend(sendAt(id+1, "i-1", 100*time.Millisecond))
		assert.Equal(t, after.Suspected, 1)
	}
	for id := range SendID(3) {
		crash := crashAt("i-1", time.Duration(3-id)*time.Second)
		crash.Send, crash.EndedAgo = id+1, crash.SentAgo-100*time.Millisecond
		crash.SeenAfter, crash.RanAfter = crash.EndedAgo, crash.EndedAgo-10*time.Millisecond
		assert.Equal(t, table.Report(crash).Crashes, 1)
	}
	assert.DeepEqual(t, table.Find(request).Suspicion, Suspicion{Crashes: 1, Suspected: 1})
}

// TestProcessesThatMayHaveEndedCountEach guards against an instance that starts again under its id
// and ends under the same request unnoticed, since the end of its first process was seen late.
func TestProcessesThatMayHaveEndedCountEach(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	first := sendAt(1, "i-1", 300*time.Millisecond)
	first.EndedAgo, first.MayHaveEnded, first.RanAfter = 200*time.Millisecond, true, 150*time.Millisecond
	_, after := table.NoteSend(first)
	assert.DeepEqual(t, after.Suspicion, Suspicion{Suspected: 1})
	c.now = c.now.Add(100 * time.Millisecond)
	second := sendAt(2, "i-1", 0)
	second.IsOpen = true
	before, _ := table.NoteSend(second)
	assert.DeepEqual(t, before.Suspicion, Suspicion{Suspected: 1})
	c.now = c.now.Add(400 * time.Millisecond)
	crash := crashAt("i-1", 400*time.Millisecond)
	crash.Send, crash.EndedAgo, crash.RanAfter, crash.SeenAfter = 2, 300*time.Millisecond, 200*time.Millisecond, 290*time.Millisecond
	assert.DeepEqual(t, table.Report(crash).Suspicion, Suspicion{Crashes: 1, Suspected: 2})
	late := crashAt("i-1", 800*time.Millisecond)
	late.Send, late.EndedAgo, late.RanAfter, late.SeenAfter = 1, 700*time.Millisecond, 150*time.Millisecond, 700*time.Millisecond
	assert.DeepEqual(t, table.Report(late).Suspicion, Suspicion{Crashes: 1, Suspected: 2})
}

// TestProcessesOfOneInstanceCountEach guards against an instance that starts again under its id
// and ends under the same request without being counted.
func TestProcessesOfOneInstanceCountEach(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	for id := range SendID(MaxCrashes) {
		c.now = c.now.Add(50 * time.Millisecond)
		crash := crashAt("i-1", 10*time.Millisecond)
		crash.Send = id + 1
		assert.Equal(t, table.Report(crash).Crashes, int(id)+1)
		assert.Equal(t, table.Report(crash).Crashes, int(id)+1, "reported again")
	}
}

// TestOpenSendsOfLostGatewayCount guards against a request that is sent on after the gateway of
// an open send has ended, and against counting parallel sends of several clients in a row.
func TestOpenSendsOfLostGatewayCount(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	for id := range SendID(2) {
		open := sendAt(id+1, "i-1", 0)
		open.IsOpen, open.Gateway = true, 7
		if id > 0 {
			open.Instance, open.Gateway = "i-2", 8
		}
		_, after := table.NoteSend(open)
		assert.Equal(t, after.Suspected, 1, "both are under way")
	}
	lost, cancel := context.WithCancel(t.Context())
	cancel()
	table.Watch(lost, 7, Cursor{}, 0)
	c.now = c.now.Add(10 * time.Millisecond)
	_, after := table.NoteSend(sendAt(3, "i-3", 0))
	assert.Equal(t, after.Suspected, 2)
}

// TestSuspicionLapses guards against a request that is refused for ever, and against one that
// forgets a silent end while later ones are seen.
func TestSuspicionLapses(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	silent := sendAt(1, "i-1", time.Second)
	silent.Lifetime = 10 * time.Second
	table.NoteSend(silent)
	c.now = c.now.Add(9 * time.Second)
	crash := crashAt("i-2", time.Second)
	crash.Send = 2
	assert.Equal(t, table.Report(crash).Suspected, 2)
	c.now = c.now.Add(30 * time.Second)
	assert.Equal(t, table.Find(request).Suspected, 2, "kept with the crash after it")
	c.now = c.now.Add(suspectLifetime)
	assert.DeepEqual(t, table.Find(request).Suspicion, Suspicion{})
}

// TestCrashReportedAgainAfterCompletionIsForgotten guards against a request that counts crashes
// from before a completed try, since a gateway that followed the node late told it again of them.
func TestCrashReportedAgainAfterCompletionIsForgotten(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	crash := crashAt("i-1", 10*time.Millisecond)
	table.Report(crash)
	c.now = c.now.Add(time.Second)
	table.Clear(request)
	c.now = c.now.Add(time.Second)
	again := crash
	again.SentAgo, again.EndedAgo, again.Row = crash.SentAgo+2*time.Second, 2*time.Second, 1
	assert.Equal(t, table.Report(again).Crashes, 0)
	assert.Equal(t, table.Report(crashAt("i-2", 0)).Crashes, 1)
}

// TestCompletionIsRememberedWithoutCrashes guards against a node that forgets a completed try, since
// it knew of no crash before, and counts one from before that a gateway tells it of again.
func TestCompletionIsRememberedWithoutCrashes(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	table.NoteSend(sendAt(1, "i-1", 10*time.Millisecond))
	table.Clear(request)
	c.now = c.now.Add(3 * time.Second)
	assert.Equal(t, table.Find(request).ClearedAgo, 3*time.Second)
	again := crashAt("i-2", 4*time.Second)
	again.EndedAgo, again.Row = again.SentAgo, 1
	assert.Equal(t, table.Report(again).Crashes, 0)
}

// TestLateSeenEndHidesNoLaterProcess guards against an instance that starts again twice, whose
// last end doesn't count since its first one was seen after its last start.
func TestLateSeenEndHidesNoLaterProcess(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	ends := []struct {
		instance          string
		sent, ended, seen int // milliseconds
	}{
		{"i-1", 0, 100, 830}, {"i-1", 440, 750, 785}, {"i-2", 790, 800, 810}, {"i-1", 820, 1130, 1130},
	}
	for index, one := range ends {
		crash := crashAt(one.instance, time.Duration(2000-one.sent)*time.Millisecond)
		crash.Send, crash.EndedAgo = SendID(index+1), time.Duration(2000-one.ended)*time.Millisecond
		crash.SeenAfter = time.Duration(one.seen-one.ended) * time.Millisecond
		table.Report(crash)
	}
	assert.Equal(t, table.Find(request).Crashes, MaxCrashes)
}

// TestSingleUnclearSendsWakeNoFollowers guards against lost responses that cost calls of all
// gateways each, and against a second send in a row that they learn late.
func TestSingleUnclearSendsWakeNoFollowers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := NewTable(1, time.Now, func(Fingerprint, []string) {})
		began := time.Now()
		next := table.Watch(t.Context(), 1, Cursor{}, 0).Next
		told := func() (after time.Duration, suspected int) {
			changes := table.Watch(t.Context(), 1, next, time.Minute)
			next = changes.Next
			return time.Since(began), changes.Records[0].Suspected
		}
		time.AfterFunc(10*time.Millisecond, func() { table.NoteSend(sendAt(1, "i-1", 5*time.Millisecond)) })
		time.AfterFunc(20*time.Millisecond, func() {
			open := sendAt(2, "i-2", 0)
			open.IsOpen = true
			table.NoteSend(open)
		})
		after, suspected := told()
		assert.Equal(t, after, 10*time.Millisecond+lazyTellInterval+followerPause)
		assert.Equal(t, suspected, 2)
		began = time.Now()
		time.AfterFunc(10*time.Millisecond, func() { table.NoteSend(sendAt(2, "i-2", time.Millisecond)) })
		after, suspected = told()
		assert.Equal(t, after, 10*time.Millisecond+followerPause)
		assert.Equal(t, suspected, 2)
		began = time.Now()
		time.AfterFunc(10*time.Millisecond, func() { table.Clear(request) })
		after, suspected = told()
		assert.Equal(t, after, 10*time.Millisecond+lazyTellInterval+followerPause)
		assert.Equal(t, suspected, 0)
	})
}
