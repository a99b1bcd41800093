package logfile_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/telemetry/logfile"
)

// programLog has four requests of a program p at two gateways: a turn, a tool call, a turn
// that is refused after a pause, and its retry.
const programLog = `time=2026-05-22T10:00:01.000000Z level=info msg=answered node=edge-1 request=t1 key=p prepared=0.1 first_byte=0.3 stored=0.05 took=1
time=2026-05-22T10:00:01.300000Z level=info msg=answered node=edge-1 request=c1 key=p prepared=0.01 first_byte=0.2 stored=0 took=0.2
time=2026-05-22T10:00:02.100000Z level=info msg="not answered" node=edge-2 request=t2 key=p prepared=0.1 first_byte=0 stored=0 took=0.1 reason=full
time=2026-05-22T10:00:02.200000Z level=info msg="turn unknown" node=edge-2 request=other key=q
time=2026-05-22T10:00:03.300000Z level=info msg=answered node=edge-2 request=t2b key=p prepared=0.2 first_byte=0.4 stored=0.1 took=1
`

func findStory(t *testing.T, log, id string) logfile.Excerpt {
	t.Helper()
	story, err := logfile.FindExcerpt([]io.Reader{strings.NewReader(log)}, id, time.Second)
	assert.NilError(t, err)
	return story
}

func TestTimesOfProgram(t *testing.T) {
	const ms = time.Millisecond
	assert.DeepEqual(t, findStory(t, programLog, "p").TimeBreakdown(), logfile.TimeBreakdown{
		Answered: 3, Failed: 1, Total: 3300 * ms,
		Preparing: 310 * ms, Waiting: 590 * ms, Answering: 1150 * ms, Storing: 150 * ms,
		Failing: 100 * ms,
		// 1.0s to 1.1s, 1.3s to 2.0s, and 2.1s to 2.3s.
		Idle: 1000 * ms,
	})
}

// Missing, malformed or contradictory durations must not make the parts negative or exceed
// the duration of the request.
func TestTimesOfMalformedDurations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		duration := rapid.SampledFrom([]string{"", "-1", "x", "0", "0.5", "2", "100"})
		line := "time=2026-05-22T10:00:05.000000Z msg=answered key=p"
		for _, key := range []string{"prepared", "first_byte", "stored", "took"} {
			line += fmt.Sprintf(" %s=%s", key, duration.Draw(rt, key))
		}
		times := findStory(t, line+"\n", "p").TimeBreakdown()
		assert.Equal(rt, times.Answered, 1)
		assert.Equal(rt, times.Preparing+times.Waiting+times.Answering+times.Storing, times.Total)
		assert.Assert(rt, min(times.Preparing, times.Waiting, times.Answering, times.Storing, times.Idle) >= 0, "%+v", times)
	})
}

func TestTimesWithoutRequests(t *testing.T) {
	assert.Equal(t, findStory(t, programLog, "q").TimeBreakdown(), logfile.TimeBreakdown{})
}

const startLog = `time=2026-05-22T10:00:00.000000Z msg="instances changed" node=edge-1 known=3
time=2026-05-22T10:00:01.000000Z msg=started node=edge-1
time=2026-05-22T10:00:01.200000Z msg="configuration in force" node=edge-1 version=4
time=2026-05-22T10:00:01.300000Z msg="configuration in force" node=edge-2 version=4
time=2026-05-22T10:00:01.400000Z msg="configuration in force" node=edge-1 version=8
time=2026-05-22T10:00:01.500000Z msg="instances changed" node=edge-1 known=3
time=2026-05-22T10:00:02.000000Z msg=started node=edge-1
time=2026-05-22T10:00:02.050000Z msg=answered node=edge-1 request=r1 took=0.01
`

// Two starts of one process must be reported separately, and each milestone only once per
// start.
func TestStartsReportsFirstMilestones(t *testing.T) {
	starts, err := logfile.FindStarts([]io.Reader{strings.NewReader(startLog)})
	assert.NilError(t, err)
	assert.Equal(t, len(starts), 2)
	assert.DeepEqual(t, starts[0].Milestones, []logfile.Milestone{
		{Message: "configuration in force", After: 200 * time.Millisecond},
		{Message: "instances changed", After: 500 * time.Millisecond},
	})
	assert.DeepEqual(t, starts[1].Milestones, []logfile.Milestone{{Message: "answered", After: 50 * time.Millisecond}})
}
