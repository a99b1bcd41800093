package main

import (
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/telemetry"
	"github.com/marblering/marblering/telemetry/logfile"
)

// TestReadsWhatTheLoggerWrites, whatever stands in a value.
func TestReadsWhatTheLoggerWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.StringMatching(`[ -~]{1,40}`).Draw(t, "value")
		var log strings.Builder
		telemetry.NewLogger(&log, zapcore.InfoLevel, zap.String("node", "a")).Info("said", zap.String("value", value))
		line, ok := logfile.Parse(log.String())
		assert.Assert(t, ok, log.String())
		assert.Equal(t, line.Get("value"), value)
		assert.Equal(t, line.Get("msg"), "said")
	})
}
