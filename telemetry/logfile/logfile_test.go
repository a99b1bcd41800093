package logfile_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/telemetry/logfile"
)

const gatewayLog = `  1.20 edge-1 time=2026-05-22T10:00:01.200000Z level=info msg="store lost" node=edge-1 error="read: connection reset"
  1.90 edge-1 time=2026-05-22T10:00:01.900000Z level=info msg="trying another back end" node=edge-1 request=r1 instance=i-1 error=EOF
  1.95 edge-1 time=2026-05-22T10:00:01.950000Z level=info msg=answered node=edge-1 request=r2 took=0.1
  2.00 edge-1 time=2026-05-22T10:00:02.000000Z level=info msg="not answered" node=edge-1 request=r1 took=0.5 reason="a \"quoted\" reason"
no line of a log
`

const storageLog = `time=2026-05-22T10:00:01.950000Z level=warn msg="budget refused" node=storage-1 turn=r1
time=2026-05-22T10:00:01.960000Z level=warn msg="replica set not changed" node=storage-1 shard=1
time=2026-05-22T10:00:09.000000Z level=info msg=late node=storage-1
`

func Example() {
	story, _ := logfile.FindExcerpt([]io.Reader{strings.NewReader(gatewayLog), strings.NewReader(storageLog)}, "r1", time.Second)
	for _, l := range story.Lines {
		fmt.Println(strings.TrimSpace(l.Get("node") + " " + l.Get("msg") + " " + l.Get("reason")))
	}
	for _, l := range story.Context {
		fmt.Println("context:", l.Get("node"), l.Get("msg"))
	}
	// Output:
	// edge-1 trying another back end
	// storage-1 budget refused
	// edge-1 not answered a "quoted" reason
	// context: edge-1 store lost
	// context: storage-1 replica set not changed
}

func TestFindUnknownID(t *testing.T) {
	story, err := logfile.FindExcerpt([]io.Reader{strings.NewReader(gatewayLog)}, "r3", time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(story.Lines)+len(story.Context), 0)
}
