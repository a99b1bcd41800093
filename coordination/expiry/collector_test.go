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

// shelf is a replica with a clock that is set by hand.
type shelf struct {
	store     *replica.Memory
	now       time.Time
	codec     *turn.Codec
	collector *expiry.Collector
}

func newShelf() *shelf {
	s := &shelf{store: replica.NewMemory(), now: time.Unix(1_000_000, 0)}
	s.codec, _ = turn.NewCodec()
	s.collector, _ = expiry.New(expiry.Options{
		Store: s.store, Shards: func() uint32 { return 2 }, Now: func() time.Time { return s.now }, Logger: zap.NewNop(),
	})
	return s
}

func (s *shelf) put(shard uint32, id string, ancestors ...string) {
	object, digest, _ := s.codec.Encode(&statev1.RetainedTurn{Id: id, Ancestors: ancestors, RetentionMs: 60_000})
	_ = s.store.PutTurn(shard, replica.Turn{Program: id, Sequence: 1, Digest: digest, Object: object})
}

// after lets time pass, looks, and returns what is left.
func (s *shelf) after(passed time.Duration) []string {
	s.now = s.now.Add(passed)
	_ = s.collector.Collect(context.Background())
	var left []string
	for shard := range uint32(2) {
		_ = s.store.EachTurn(shard, func(stored replica.Turn) error {
			left = append(left, stored.Program)
			return nil
		})
	}
	return left
}

func Example() {
	s := newShelf()
	s.put(0, "a")
	fmt.Println(s.after(0), s.after(time.Minute), s.after(3*time.Minute))
	// Output: [a] [a] []
}

// TestLineIsKeptWhileItGoesOn, also where its turns are in two shards.
func TestLineIsKeptWhileItGoesOn(t *testing.T) {
	s := newShelf()
	s.put(0, "a")
	line := []string{"a"}
	for index := range 6 {
		assert.Equal(t, len(s.after(2*time.Minute)), len(line))
		id := fmt.Sprint("b", index)
		s.put(1, id, line...)
		line = append(line, id)
	}
	s.put(0, "alone")
	assert.Equal(t, len(s.after(0)), len(line)+1)
	assert.Equal(t, len(s.after(2*time.Minute)), len(line)+1)
	assert.Equal(t, len(s.after(2*time.Minute)), 0)
}

// TestRetentionHolds: nothing goes before its retention is over.
func TestRetentionHolds(t *testing.T) {
	s := newShelf()
	s.put(0, "a")
	s.after(0)
	for passed := time.Duration(0); passed <= time.Minute; passed += 5 * time.Second {
		assert.Equal(t, len(s.after(5*time.Second)), 1)
	}
}

// TestDamagedTurnIsKeptForTheDefaultTime.
func TestDamagedTurnIsKeptForTheDefaultTime(t *testing.T) {
	s := newShelf()
	assert.NilError(t, s.store.PutTurn(0, replica.Turn{Program: "a", Sequence: 1, Object: []byte("damaged")}))
	s.after(0)
	assert.Equal(t, len(s.after(5*time.Minute)), 1)
	assert.Equal(t, len(s.after(time.Hour)), 0)
}
