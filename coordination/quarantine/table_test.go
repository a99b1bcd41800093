package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var request = FingerprintOf([]byte("request"))

// crashAt is a crash of an instance under the request, which took as long.
func crashAt(instance string, ran time.Duration) Crash {
	return Crash{Fingerprint: request, Instance: instance, SentAgo: ran}
}

// TestTriesInARowCount guards against counting ends at the same time, under requests of
// several clients that ask the same, as tries of one client.
func TestTriesInARowCount(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	assert.Equal(t, table.Report(crashAt("i-1", time.Second)).Crashes, 1)
	assert.Equal(t, table.Report(crashAt("i-1", time.Second)).Crashes, 1, "a repeated report")
	c.now = c.now.Add(100 * time.Millisecond)
	assert.Equal(t, table.Report(crashAt("i-2", 200*time.Millisecond)).Crashes, 1, "sent before i-1 ended")
	assert.Equal(t, table.Report(crashAt("i-3", 100*time.Millisecond)).Crashes, 2, "sent after i-1 ended")
	assert.Equal(t, len(c.quarantined), 0)
	c.now = c.now.Add(200 * time.Millisecond)
	assert.Equal(t, table.Report(crashAt("i-4", 100*time.Millisecond)).Crashes, 3)
	assert.DeepEqual(t, c.quarantined, []Fingerprint{request})
	assert.Assert(t, IsQuarantined(table.Find(request).Crashes))
}

// TestManyClientsOfLethalRequestAreRefused guards against a request that crashes instances
// without end, because many clients send it at the same time.
func TestManyClientsOfLethalRequestAreRefused(t *testing.T) {
	const clients = maxEnds + 4
	c := newCluster(1)
	table := c.tables["node-0"]
	for try := range MaxCrashes {
		c.now = c.now.Add(time.Second)
		for client := range clients {
			got := table.Report(crashAt(fmt.Sprint("i-", try, "-", client), 100*time.Millisecond))
			assert.Equal(t, got.Crashes, try+1)
		}
	}
	assert.Equal(t, len(c.quarantined), 1)
	assert.Equal(t, len(table.entries[request].ends), maxEnds)
}

// TestLateReportKeepsItsTime covers reports that come long after the end, in any order.
func TestLateReportKeepsItsTime(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	late := crashAt("i-1", 500*time.Millisecond)
	late.EndedAgo = 400 * time.Millisecond
	assert.Equal(t, table.Report(crashAt("i-2", 300*time.Millisecond)).Crashes, 1)
	assert.Equal(t, table.Report(late).Crashes, 2, "i-2 was sent after i-1 had ended")
}

// TestCompletedTryForgetsCrashes guards against a request that is refused though its tries
// are completed now and then.
func TestCompletedTryForgetsCrashes(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	for number := range 3 * MaxCrashes {
		c.now = c.now.Add(time.Second)
		assert.Equal(t, table.Report(crashAt(fmt.Sprint("i-", number), time.Millisecond)).Crashes, 1)
		table.Clear(request)
		assert.Equal(t, table.Find(request).Crashes, 0)
	}
}

// TestRecordsExpire checks how long requests are remembered.
func TestRecordsExpire(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	table.Report(crashAt("i-1", 0))
	c.now = c.now.Add(suspectLifetime)
	assert.Equal(t, table.Find(request).Crashes, 0)
	for number := range MaxCrashes {
		table.Report(crashAt(fmt.Sprint("j-", number), 0))
	}
	c.now = c.now.Add(quarantineLifetime - 1)
	assert.Equal(t, table.Find(request).Crashes, MaxCrashes)
	assert.Equal(t, len(table.Records()), 1)
	c.now = c.now.Add(1)
	assert.Equal(t, table.Find(request).Crashes, 0)
	assert.Equal(t, len(table.Records()), 0)
}

// TestExpiredCrashesDontCount guards against crashes that still count after their lifetime,
// until expired records are searched again.
func TestExpiredCrashesDontCount(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	table.Report(crashAt("i-1", 0))
	c.now = c.now.Add(suspectLifetime - 1)
	table.Report(Crash{Fingerprint: FingerprintOf([]byte("other")), Instance: "i-2"}) // searches
	c.now = c.now.Add(1)
	assert.Equal(t, table.Report(crashAt("i-3", 0)).Crashes, 1)
}

// TestRestoredQuarantineIsLogged guards against a quarantine that a restarted storage node
// keeps without a line, because the row that it is told is longer than needed.
func TestRestoredQuarantineIsLogged(t *testing.T) {
	c := newCluster(1)
	restored := crashAt("i-1", 0)
	restored.Row = MaxCrashes + 1
	c.tables["node-0"].Report(restored)
	assert.Equal(t, len(c.quarantined), 1)
}

// TestTableIsBounded guards against a table that grows without limit, or that forgets
// quarantined requests for others.
func TestTableIsBounded(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	for number := range MaxCrashes {
		table.Report(crashAt(fmt.Sprint("i-", number), 0))
	}
	for number := range maxEntries + 100 {
		table.Report(Crash{Fingerprint: FingerprintOf(fmt.Append(nil, number)), Instance: "i"})
	}
	assert.Equal(t, len(table.Records()), maxEntries)
	assert.Equal(t, table.Find(request).Crashes, MaxCrashes)
	assert.Equal(t, table.ClearAll(), maxEntries)
	assert.Equal(t, len(table.Records()), 0)
}

// TestReportWaitsForFollowers guards against a client that tries again at a gateway which
// doesn't know of the crash yet, and against waiting for gateways that are gone.
func TestReportWaitsForFollowers(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	isKnown := func() bool { return table.AwaitFollowers(ended, request) }
	assert.Assert(t, isKnown(), "nobody follows")
	first := table.Watch(t.Context(), 1, Cursor{}, 0)
	table.Report(crashAt("i-1", 0))
	assert.Assert(t, !isKnown())
	second := table.Watch(t.Context(), 1, first.Next, 0)
	assert.Assert(t, !isKnown(), "the answer may be on its way")
	third := table.Watch(t.Context(), 1, second.Next, 0)
	assert.Assert(t, isKnown())
	table.Watch(ended, 2, Cursor{}, time.Minute)
	assert.Assert(t, isKnown(), "the connection of a follower is lost")
	table.Watch(t.Context(), 3, Cursor{}, 0)
	assert.Assert(t, !isKnown())
	c.now = c.now.Add(followerTimeout)
	table.Watch(t.Context(), 1, third.Next, 0)
	assert.Assert(t, isKnown(), "a follower hasn't called again")
}

// TestWatchReturnsChanges checks what a follower is told, from the start and later.
func TestWatchReturnsChanges(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	first := table.Watch(t.Context(), 1, Cursor{}, 0)
	assert.Assert(t, first.IsFull && len(first.Records) == 0)
	answered := make(chan Changes)
	go func() { answered <- table.Watch(t.Context(), 1, first.Next, time.Minute) }()
	table.Report(crashAt("i-1", 0))
	changes := <-answered
	assert.DeepEqual(t, changes.Records, []Record{{Fingerprint: request, Suspicion: Suspicion{Crashes: 1, Suspected: 1}, Remaining: suspectLifetime}})
	table.Clear(request)
	cleared := table.Watch(t.Context(), 1, changes.Next, 0)
	assert.Equal(t, cleared.Records[0].Crashes, 0)
	assert.Equal(t, len(table.Watch(t.Context(), 1, cleared.Next, 0).Records), 0)
	c.start("node-0")
	assert.Assert(t, c.tables["node-0"].Watch(t.Context(), 1, cleared.Next, time.Minute).IsFull)
}
