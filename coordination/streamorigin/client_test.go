package streamorigin_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/streamorigin"
)

const lifetime = 8 * time.Second

var (
	key = streamorigin.Key{Request: "r-1", Program: "p-1", Tenant: "t"}
	v1  = streamorigin.Origin{Service: "models", Version: "v1"}
	v2  = streamorigin.Origin{Service: "models", Version: "v2"}
)

func record(origin streamorigin.Origin, change uint32) streamorigin.Record {
	return streamorigin.Record{Key: key, Origin: origin, Change: change, Lifetime: lifetime}
}

// TestRecordAtOneNodeIsFound covers records that a reservation brought to one node.
func TestRecordAtOneNodeIsFound(t *testing.T) {
	c := newCluster(3)
	client := streamorigin.NewClient(c, c)
	c.tables["node-2"].Record(record(v1, 0))
	assert.DeepEqual(t, client.Find(t.Context(), key, lifetime), streamorigin.Finding{Known: true, Origin: v1})
	c.stop("node-0")
	assert.DeepEqual(t, client.Find(t.Context(), key, lifetime), streamorigin.Finding{Known: true, Origin: v1})
	// The majority may have recorded a change that this node missed.
	c.stop("node-1")
	assert.DeepEqual(t, client.Find(t.Context(), key, lifetime), streamorigin.Finding{})
}

// TestChangedOriginSupersedesEarlierRecord guards against a stream that is resumed by the
// record of an attempt that brought no event.
func TestChangedOriginSupersedesEarlierRecord(t *testing.T) {
	for _, down := range []string{"", "node-1", "node-2"} {
		c := newCluster(3)
		client := streamorigin.NewClient(c, c)
		c.tables["node-0"].Record(record(v1, 0))
		if down != "" {
			c.stop(down)
		}
		assert.NilError(t, client.Record(t.Context(), record(v2, 1)))
		c.tables["node-0"].Record(record(v1, 0)) // a reservation that arrives late
		assert.DeepEqual(t, client.Find(t.Context(), key, lifetime), streamorigin.Finding{Known: true, Origin: v2})
	}
}

// TestRestartedNodeConfirmsNoRecord guards against a record of an earlier origin that seems
// to be the newest since the nodes with the change were restarted or stopped.
func TestRestartedNodeConfirmsNoRecord(t *testing.T) {
	c := newCluster(3)
	client := streamorigin.NewClient(c, c)
	c.tables["node-0"].Record(record(v1, 0))
	c.stop("node-0")
	assert.NilError(t, client.Record(t.Context(), record(v2, 1)))
	// A request lasts much shorter than the time that passes below.
	c.awaitAsked(t, len(c.view.Members))
	resumed := c.tables["node-2"]
	c.start("node-0") // as after a pause: it still has its records
	c.tables["node-0"].Record(record(v1, 0))
	c.start("node-1")
	c.advance(lifetime - 1)
	c.stop("node-2")
	assert.Assert(t, !client.Find(t.Context(), key, lifetime).Known)
	c.tables["node-2"] = resumed
	assert.DeepEqual(t, client.Find(t.Context(), key, lifetime), streamorigin.Finding{Known: true, Origin: v2, Age: lifetime - 1})
}

// TestUnconfirmedRecordIsReported guards against a change that a majority doesn't have.
func TestUnconfirmedRecordIsReported(t *testing.T) {
	c := newCluster(3)
	client := streamorigin.NewClient(c, c)
	c.stop("node-1")
	c.stop("node-2")
	assert.ErrorIs(t, client.Record(t.Context(), record(v1, 1)), streamorigin.ErrNotRecorded)
	c.view.Members = nil
	assert.ErrorIs(t, client.Record(t.Context(), record(v1, 1)), streamorigin.ErrNoNodes)
	assert.DeepEqual(t, client.Find(t.Context(), key, lifetime), streamorigin.Finding{})
}

// TestOnlyOldTablesExcludeRecord guards against taking a missing record for proof, if a node
// that may have had it is down, was restarted or has dropped records.
func TestOnlyOldTablesExcludeRecord(t *testing.T) {
	c := newCluster(3)
	client := streamorigin.NewClient(c, c)
	assert.Assert(t, !client.Find(t.Context(), key, lifetime).Excluded, "the nodes have just started")
	c.advance(lifetime)
	assert.Assert(t, client.Find(t.Context(), key, lifetime).Excluded)
	c.stop("node-1")
	assert.Assert(t, !client.Find(t.Context(), key, lifetime).Excluded)
	c.start("node-1")
	assert.Assert(t, !client.Find(t.Context(), key, lifetime).Excluded)
	c.advance(lifetime)
	assert.Assert(t, client.Find(t.Context(), key, lifetime).Excluded)
}

// TestRecordsOfOthersAreNotFound covers ids that are forged or of another tenant or program.
func TestRecordsOfOthersAreNotFound(t *testing.T) {
	c := newCluster(3)
	client := streamorigin.NewClient(c, c)
	assert.NilError(t, client.Record(t.Context(), record(v1, 0)))
	for _, other := range []streamorigin.Key{
		{Request: "r-2", Program: "p-1", Tenant: "t"}, {Request: "r-1", Program: "p-2", Tenant: "t"}, {Request: "r-1", Program: "p-1", Tenant: "u"},
	} {
		assert.Assert(t, !client.Find(t.Context(), other, lifetime).Known, "%v", other)
	}
	for _, table := range c.tables {
		assert.Assert(t, table.Len() <= 1, "a search adds nothing")
	}
}

// TestTableIsBounded checks that records expire, and that a table that had to drop one no
// longer excludes any.
func TestTableIsBounded(t *testing.T) {
	c := newCluster(1)
	table := c.tables["node-0"]
	c.advance(lifetime)
	flood := func(name string) {
		for number := range 60_000 {
			table.Record(streamorigin.Record{Key: streamorigin.Key{Request: fmt.Sprint(name, number)}, Origin: v1, Lifetime: lifetime})
		}
	}
	flood("a")
	full := table.Len()
	assert.Assert(t, full < 60_000)
	assert.Equal(t, table.Find(key).RecordingFor, time.Duration(0))
	flood("b")
	assert.Equal(t, table.Len(), full)
	c.advance(lifetime)
	assert.Assert(t, !table.Find(streamorigin.Key{Request: "a0"}).Known)
	table.Record(record(v2, 0))
	assert.Equal(t, table.Len(), 1)
	assert.Assert(t, table.Find(key).Known)
}

func Example() {
	c := newCluster(3)
	gateway, other := streamorigin.NewClient(c, c), streamorigin.NewClient(c, c)
	began := streamorigin.Key{Request: "r-1", Program: "p-1"}
	_ = gateway.Record(context.Background(), streamorigin.Record{
		Key: began, Origin: streamorigin.Origin{Service: "models", Version: "v1.2"}, Lifetime: streamorigin.Lifetime(3 * time.Second),
	})
	// The gateway is gone, and its client resumes the stream at another one.
	finding := other.Find(context.Background(), began, streamorigin.Lifetime(3*time.Second))
	origin, err := streamorigin.Decide(finding, streamorigin.SoleVersion{}, streamorigin.Lifetime(3*time.Second))
	fmt.Println(origin.Version, err)
	// Output: v1.2 <nil>
}
