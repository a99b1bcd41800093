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
