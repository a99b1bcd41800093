package expiry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUseIsOver(t *testing.T) {
	last := time.Unix(1000, 0)
	known := use{last: last, retention: time.Minute}
	end := last.Add(3*time.Minute + 30*time.Second)
	assert.Assert(t, !known.isOver(last))
	assert.Assert(t, !known.isOver(end))
	assert.Assert(t, known.isOver(end.Add(time.Nanosecond)))
}
