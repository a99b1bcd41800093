package logfile_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/telemetry/logfile"
)

// Requests must be grouped by route, status, code and wait cause, and counted by the outcome
// of the next request of the same program.
func TestSummarizeRequestsGroupsByOutcome(t *testing.T) {
	const log = `
time=2026-01-01T00:00:01Z msg="not answered" node=a key=p1 route=chat status=503 code=2004 sends=0 prepared=0.7 took=0.701
time=2026-01-01T00:00:02Z msg=answered node=b key=p1 route=chat status=200 code=0 sends=1 prepared=0.01 took=0.5
time=2026-01-01T00:00:03Z msg="not answered" node=a key=p2 route=chat status=503 code=2004 sends=0 prepared=0.3 took=0.3
time=2026-01-01T00:00:04Z msg="not answered" node=a key=p2 route=chat status=504 code=3006 sends=1 prepared=0.01 took=3
time=2026-01-01T00:00:05Z msg="not answered" node=a key= route=chat status=503 code=2009 sends=0 prepared=0.001 took=0.9
time=2026-01-01T00:00:06Z msg="not answered" node=a key= route=pay status=503 code=2005 sends=0 prepared=0 took=0.001
time=2026-01-01T00:00:07Z msg="trying another back end" node=a key=p2 route=chat
time=2026-01-01T00:00:20Z msg=answered node=b key=p2 route=chat status=200 code=0 sends=1 prepared=0.01 took=0.1
`
	summaries, err := logfile.SummarizeRequests([]io.Reader{strings.NewReader(log)})
	assert.NilError(t, err)
	assert.DeepEqual(t, summaries, []logfile.RequestSummary{
		{Route: "chat", Status: "200", Code: "0", Count: 2, TotalTime: 600 * time.Millisecond, Longest: 500 * time.Millisecond},
		{
			Route: "chat", Status: "503", Code: "2004", WaitCause: logfile.WaitHistoryAndBudget, Count: 2,
			TotalTime: 1001 * time.Millisecond, Longest: 701 * time.Millisecond, RetriesAnswered: 1, RetriesFailed: 1,
		},
		{Route: "chat", Status: "503", Code: "2009", WaitCause: logfile.WaitConnect, Count: 1, TotalTime: 900 * time.Millisecond, Longest: 900 * time.Millisecond, NotRetried: 1},
		{Route: "chat", Status: "504", Code: "3006", WaitCause: logfile.WaitBackend, Count: 1, TotalTime: 3 * time.Second, Longest: 3 * time.Second, NotRetried: 1},
		{Route: "pay", Status: "503", Code: "2005", Count: 1, TotalTime: time.Millisecond, Longest: time.Millisecond, NotRetried: 1},
	})
}
