package integration

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/runner"
)

// TestLateStreamReportsWrongEvents guards against a soak that overlooks wrong events.
func TestLateStreamReportsWrongEvents(t *testing.T) {
	event := func(id, number, version string) string {
		return "id: " + id + "\ndata: piece " + number + " of " + version + "\n\n"
	}
	for _, c := range []struct{ name, answer, wrong string }{
		{"next events", event("5", "5", "v1") + event("6", "6", "v1"), "ended as whole after event 6 of 12"},
		{"event cut off", strings.TrimSuffix(event("5", "5", "v1"), "\n"), "ended as whole after event 4 of 12"},
		{"comment", ":\n\n", "ended as whole after event 4 of 12"},
		{"missing", event("6", "6", "v1"), "events missing: 6 after 4; ended as whole after event 6 of 12"},
		{"repeated", event("4", "4", "v1"), "event repeated: 4; ended as whole after event 4 of 12"},
		{"going back", event("1", "1", "v1"), "events going back: 1 after 4; ended as whole after event 1 of 12"},
		{"other version", event("5", "5", "v2") + event("6", "6", "v2"), "event 5 of v2 in a stream of v1; ended as whole after event 6 of 12"},
		{"longer name of version", event("5", "5", "v11"), "event 5 of v11 in a stream of v1; ended as whole after event 5 of 12"},
		{"number and id differ", event("5", "6", "v1"), `event "5" has data "piece 6 of v1"; ended as whole after event 4 of 12`},
	} {
		t.Run(c.name, func(t *testing.T) {
			stream := &lateStream{
				callers:      &lateCallers{stopped: make(chan struct{})},
				lateProgress: lateProgress{began: "r-1", version: "v1", last: 4, received: time.Now()},
			}
			outcome := stream.readEvents(new(lateTry), &http.Response{Body: io.NopCloser(strings.NewReader(c.answer))})
			assert.Equal(t, outcome, soakWhole)
			assert.Equal(t, strings.Join(stream.wrong, "; "), c.wrong)
		})
	}
}

// TestLateStreamReportsNeedlessRefusals guards against a soak that takes any refusal, and
// against one that asks for what a gateway can't know.
func TestLateStreamReportsNeedlessRefusals(t *testing.T) {
	now := time.Now()
	restart := func(request string, at, listed time.Time) []*lateRestart {
		return []*lateRestart{{runs: func() []runner.Run { return []runner.Run{{ID: request}} }, at: at, listed: listed}}
	}
	instance := func(version string, readyFor time.Duration) []*soakInstance {
		return []*soakInstance{{version: version, readySince: now.Add(-readyFor)}}
	}
	for _, c := range []struct {
		name      string
		instances []*soakInstance
		restarts  []*lateRestart
		spares    bool
		gone      bool
		unknown   bool
	}{
		{name: "version served", instances: instance("v1", 2*lateListDelay), gone: true},
		{name: "entry was wrong", instances: instance("v1", 2*lateListDelay), restarts: restart("r-1", now.Add(-time.Second), time.Time{})},
		{name: "list may be old", instances: instance("v1", 2*lateListDelay), restarts: restart("r-1", now.Add(-time.Minute), now.Add(-lateListDelay/2))},
		{name: "entry was right again", instances: instance("v1", 2*lateListDelay), restarts: restart("r-1", now.Add(-time.Minute), now.Add(-2*lateListDelay)), gone: true},
		{name: "version came just now", instances: instance("v1", lateListDelay/2)},
		{name: "other version served", instances: instance("v2", 2*lateListDelay)},
		{name: "storage spared", spares: true, unknown: true},
		{name: "storage spared, entry was wrong", spares: true, restarts: restart("r-1", now.Add(-time.Second), time.Time{})},
		{name: "storage spared, other entry was wrong", spares: true, restarts: restart("r-2", now.Add(-time.Second), time.Time{}), unknown: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			callers := &lateCallers{soak: &lateSoak{soakSystem: &soakSystem{instances: c.instances}, restarts: c.restarts, sparesStorage: c.spares}}
			stream := &lateStream{callers: callers, lateProgress: lateProgress{began: "r-1", version: "v1", begunAt: now, last: 4}}
			stream.checkGone(&lateTry{sent: now})
			assert.Equal(t, len(stream.wrong) > 0, c.gone)
			stream.wrong = nil
			stream.checkUnknown(&lateTry{sent: now})
			assert.Equal(t, len(stream.wrong) > 0, c.unknown)
		})
	}
}
