package sleep_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/sleep"
)

func Example() {
	fmt.Println(sleep.For(context.Background(), time.Millisecond))
	// Output: <nil>
}

func TestForReturnsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, sleep.For(ctx, time.Hour), context.Canceled)
}

// TestJitterOfNoPauseIsZero guards against a panic for a pause that isn't positive, such as one
// that a node's answer leaves out.
func TestJitterOfNoPauseIsZero(t *testing.T) {
	for _, pause := range []time.Duration{0, -time.Second} {
		assert.Equal(t, sleep.Jitter(pause), time.Duration(0))
	}
	for range 1000 {
		jittered := sleep.Jitter(time.Second)
		assert.Assert(t, jittered >= time.Second/2 && jittered < 3*time.Second/2, jittered)
	}
}
