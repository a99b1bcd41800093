package telemetry_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/telemetry"
)

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mutex   sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.unblock
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.text.Write(line)
}

// Writing to a blocked target must not block the caller: lines that don't fit into the
// queue are dropped and counted, and all others are written.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	target := &blockedWriter{unblock: make(chan struct{})}
	writer := telemetry.NewAsyncWriter(target, 3)
	for range 10 {
		_, err := writer.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, writer.Dropped() >= 6, "%d dropped", writer.Dropped())
	close(target.unblock)
	writer.Close()
	_, err := writer.Write([]byte("too late"))
	assert.NilError(t, err)
	written := strings.Count(target.text.String(), "line\n")
	assert.Equal(t, uint64(written)+writer.Dropped(), uint64(10))
}

// A limited logger drops lines above its limit and doesn't affect the logger that it was
// made from.
func TestLimitedDropsLinesAboveLimit(t *testing.T) {
	var text bytes.Buffer
	logger := telemetry.NewLogger(&text, zapcore.InfoLevel)
	limited := telemetry.RateLimited(logger, 0.000001, 2).With(zap.String("part", "a"))
	for range 5 {
		limited.Info("often")
	}
	logger.Info("rare")
	assert.Equal(t, strings.Count(text.String(), "msg=often"), 2)
	assert.Equal(t, strings.Count(text.String(), "msg=rare"), 1)
	text.Reset()
	quick := telemetry.RateLimited(logger, 1e9, 1)
	for range 1000 {
		quick.Info("often")
	}
	assert.Assert(t, strings.Count(text.String(), "msg=often") > 0)
}
