package logfile_test

import (
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/telemetry/logfile"
)

// TestCutLogShowsNoCutValue guards against a value that is taken for whole although the log ends
// within it.
func TestCutLogShowsNoCutValue(t *testing.T) {
	whole := linesOf(t, storageLog+gatewayLog)
	for length := range len(storageLog + gatewayLog) {
		for _, line := range linesOf(t, (storageLog + gatewayLog)[:length]) {
			index := slices.IndexFunc(whole, func(l logfile.Line) bool { return l.Time.Equal(line.Time) && l.Get("node") == line.Get("node") })
			assert.Assert(t, index >= 0, "%d bytes: a line at %v of node %q", length, line.Time, line.Get("node"))
			for _, field := range line.Fields {
				assert.Check(t, slices.Contains(whole[index].Fields, field), "%d bytes: %s=%q", length, field.Key, field.Value)
			}
		}
	}
}

// linesOf returns the lines about a node of the log, and those of its context.
func linesOf(t *testing.T, log string) (lines []logfile.Line) {
	t.Helper()
	for _, node := range []string{"edge-1", "storage-1"} {
		found, err := logfile.FindExcerpt([]io.Reader{strings.NewReader(log)}, node, time.Hour)
		assert.NilError(t, err)
		lines = append(append(lines, found.Lines...), found.Context...)
	}
	return lines
}
