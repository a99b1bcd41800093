package expiry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/expiry"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/state/turn"
)

// fixture is a replica's store with a collector and a manual clock.
type fixture struct {
	store     *replica.Memory
	now       time.Time
	codec     *turn.Codec
	collector *expiry.Collector
}

func newFixture() *fixture {
	f := &fixture{store: replica.NewMemory(), now: time.Unix(1_000_000, 0)}
	f.codec, _ = turn.NewCodec()
	f.collector, _ = expiry.New(expiry.Options{
		Store: f.store, Shards: func() uint32 { return 2 }, Now: func() time.Time { return f.now }, Logger: zap.NewNop(),
	})
	return f
}

func (f *fixture) put(shard uint32, id string, ancestors ...string) {
	object, digest, _ := f.codec.Encode(&statev1.RetainedTurn{Id: id, Ancestors: ancestors, RetentionMs: 60_000})
	_ = f.store.PutTurn(shard, replica.Turn{Program: id, Sequence: 1, Digest: digest, Object: object})
}

// collectAfter advances the clock, collects, and returns the remaining turns.
func (f *fixture) collectAfter(passed time.Duration) []string {
	f.now = f.now.Add(passed)
	_ = f.collector.Collect(context.Background())
	var remaining []string
	for shard := range uint32(2) {
		_ = f.store.EachTurn(shard, func(stored replica.Turn) error {
			remaining = append(remaining, stored.Program)
			return nil
		})
	}
	return remaining
}

func Example() {
	f := newFixture()
	f.put(0, "a")
	fmt.Println(f.collectAfter(0), f.collectAfter(time.Minute), f.collectAfter(3*time.Minute))
	// Output: [a] [a] []
}

// TestLineIsKeptWhileContinued guards against expired ancestors of a line that is still
// continued, also if its turns are in different shards.
func TestLineIsKeptWhileContinued(t *testing.T) {
	f := newFixture()
	f.put(0, "a")
	line := []string{"a"}
	for index := range 6 {
		assert.Equal(t, len(f.collectAfter(2*time.Minute)), len(line))
		id := fmt.Sprint("b", index)
		f.put(1, id, line...)
		line = append(line, id)
	}
	f.put(0, "alone")
	assert.Equal(t, len(f.collectAfter(0)), len(line)+1)
	assert.Equal(t, len(f.collectAfter(2*time.Minute)), len(line)+1)
	assert.Equal(t, len(f.collectAfter(2*time.Minute)), 0)
}

func TestNoTurnIsDeletedWithinItsRetention(t *testing.T) {
	f := newFixture()
	f.put(0, "a")
	f.collectAfter(0)
	for passed := time.Duration(0); passed <= time.Minute; passed += 5 * time.Second {
		assert.Equal(t, len(f.collectAfter(5*time.Second)), 1)
	}
}

func TestDamagedTurnIsKeptForDefaultRetention(t *testing.T) {
	f := newFixture()
	assert.NilError(t, f.store.PutTurn(0, replica.Turn{Program: "a", Sequence: 1, Object: []byte("damaged")}))
	f.collectAfter(0)
	assert.Equal(t, len(f.collectAfter(5*time.Minute)), 1)
	assert.Equal(t, len(f.collectAfter(time.Hour)), 0)
}
