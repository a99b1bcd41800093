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

// TestLogfileParsesLoggerOutput writes log fields with arbitrary printable values, which
// must be parsed back unchanged.
func TestLogfileParsesLoggerOutput(t *testing.T) {
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

const programLog = `time=2026-05-22T10:00:01.000000Z level=info msg=started node=edge-1
time=2026-05-22T10:00:01.400000Z level=info msg=answered node=edge-1 request=t1 key=p prepared=0.1 first_byte=0.2 stored=0.05 took=0.3 code=0
time=2026-05-22T10:00:02.000000Z level=info msg="not answered" node=edge-1 request=t2 key=p prepared=0.1 took=0.1 code=2004 reason=late
`

// runExplain runs the explain command with the log as standard input.
func runExplain(t *testing.T, log string, arguments ...string) (string, error) {
	t.Helper()
	var out strings.Builder
	command := newExplainCommand()
	command.SetArgs(arguments)
	command.SetIn(strings.NewReader(log))
	command.SetOut(&out)
	command.SetErr(&out)
	err := command.Execute()
	return out.String(), err
}

func TestExplainSumsProgramTimes(t *testing.T) {
	out, err := runExplain(t, programLog, "-", "p")
	assert.NilError(t, err)
	for _, want := range []string{"1 requests answered and 1 not, within 0.900s", "0.100s  history and budget", "0.500s  no request under way", "code 2004"} {
		assert.Assert(t, strings.Contains(out, want), "%q is missing:\n%s", want, out)
	}
}

func TestExplainTries(t *testing.T) {
	out, err := runExplain(t, programLog, "--tries", "-")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "2004 no_quorum"), out)
	_, err = runExplain(t, "", "--tries", "-")
	assert.ErrorContains(t, err, "no request ended")
}

func TestExplainStarts(t *testing.T) {
	out, err := runExplain(t, programLog, "--starts", "-")
	assert.NilError(t, err)
	assert.Equal(t, out, "2026-05-22T10:00:01Z  edge-1 started\n      +0.400s  answered\n")
	_, err = runExplain(t, "", "--starts", "-")
	assert.ErrorContains(t, err, "no process started")
	_, err = runExplain(t, programLog, "-")
	assert.ErrorContains(t, err, "requires at least 2 arg")
	_, err = runExplain(t, programLog, "missing.log", "p")
	assert.ErrorContains(t, err, "missing.log")
}
