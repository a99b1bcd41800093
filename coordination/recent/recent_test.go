package recent_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/recent"
)

var start = time.Unix(1_000_000, 0)

func Example() {
	counts := recent.New(time.Minute, func(time.Time) int { return 0 })
	*counts.Get("a", start)++
	*counts.Get("a", start)++
	fmt.Println(*counts.Get("a", start))
	// Output: 2
}

// The map must stay small however many keys it has seen, and a key that stays in use must
// keep its value.
func TestMapDropsIdleKeys(t *testing.T) {
	counts := recent.New(time.Minute, func(time.Time) int { return 0 })
	now := start
	for i := range 10_000 {
		now = now.Add(time.Second)
		*counts.Get("stays", now)++
		counts.Get(fmt.Sprint(i), now)
		assert.Assert(t, counts.Len() <= 200, "%d entries", counts.Len())
	}
	assert.Equal(t, *counts.Get("stays", now), 10_000)
	assert.Assert(t, counts.Has("stays"))
	assert.Assert(t, !counts.Has("0"))
}
