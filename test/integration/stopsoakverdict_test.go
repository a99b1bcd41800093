package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/test/harness"
)

// verdictCase is one request of which a stopVerdict must say what it breaks or what excuses it.
// Moments are seconds after the SIGTERM of its gateway, whose drain timeout is 8 s.
type verdictCase struct {
	name        string
	kind        keptKind
	sent, ended float64
	ending      harness.Ending
	status      int
	// runs are the ends of the work of instances.
	runs []float64
	// instanceClosed is when the instance ended, if it isn't zero.
	instanceClosed float64
	disruptions    []disruptionCase
	body           string
	isLogged       bool
	want           string
}

type disruptionCase struct {
	machine  int
	from, to float64
}

func verdictCases() []verdictCase {
	const cut, dropped, unread, silent = harness.EndedCut, harness.EndedDropped, harness.EndedUnread, harness.EndedSilent
	gatewayFault, coreFault, otherFault := disruptionCase{0, 0, 1}, disruptionCase{coreMachine, 0, 1}, disruptionCase{1, 0, 1}
	return []verdictCase{
		{name: "whole", status: 200, runs: []float64{2}},
		{name: "cut at work in the last sixth", sent: 3, ended: 7, ending: cut, runs: []float64{7}, isLogged: true, want: "excused: outlasts the stop"},
		{name: "cut, sent too late", sent: 3.1, ended: 7, ending: cut, runs: []float64{7}, isLogged: true, want: "FAULT lost"},
		{name: "cut too early", sent: 3, ended: 6.5, ending: cut, runs: []float64{9}, isLogged: true, want: "FAULT lost"},
		{name: "cut after the work", sent: 3, ended: 7, ending: cut, runs: []float64{6}, isLogged: true, want: "FAULT lost"},
		{name: "dropped", sent: 4, ended: 4, ending: dropped, isLogged: true, want: "FAULT lost"},
		{name: "not read", sent: 4, ended: 4, ending: unread},
		{name: "reset after it was passed on", sent: 4, ended: 4.1, ending: unread, runs: []float64{4.5}, isLogged: true, want: "FAULT lost"},
		{name: "no log line", sent: 3, ended: 7, ending: cut, runs: []float64{7}, want: "FAULT log"},
		{name: "deadline", sent: 1, ended: 6, ending: cut, runs: []float64{5}, isLogged: true, want: "excused: deadline"},
		{name: "gateway disrupted", sent: 3.9, ended: 4, ending: cut, isLogged: true, disruptions: []disruptionCase{gatewayFault}, want: "excused: gateway disrupted"},
		{name: "disrupted long before", sent: 4.1, ended: 4.2, ending: cut, isLogged: true, disruptions: []disruptionCase{gatewayFault}, want: "FAULT lost"},
		{name: "core disrupted", sent: 3.9, ended: 4, ending: cut, isLogged: true, disruptions: []disruptionCase{coreFault}, want: "excused: core disrupted"},
		{name: "another gateway disrupted", sent: 1, ended: 2, ending: cut, isLogged: true, disruptions: []disruptionCase{otherFault}, want: "FAULT lost"},
		{name: "instance ended", sent: 4, ended: 5, ending: cut, runs: []float64{6}, instanceClosed: 5, isLogged: true, want: "excused: instance ended"},
		{name: "instance ended later", sent: 4, ended: 5, ending: cut, runs: []float64{6}, instanceClosed: 5.5, isLogged: true, want: "FAULT lost"},
		{name: "not read by its client", kind: keptUnread, sent: 4, ended: 8, ending: silent, runs: []float64{8}, isLogged: true, want: "excused: the client"},
		{name: "ran twice", status: 200, runs: []float64{1, 2}, want: "FAULT twice"},
		{name: "read twice", kind: keptRead, status: 200, runs: []float64{1, 2}},
		{name: "ran after a promise", kind: keptCall, status: 503, runs: []float64{1}, want: "FAULT promise"},
		{name: "other body", kind: keptCall, status: 200, runs: []float64{1}, body: "other", want: "FAULT body"},
		{name: "turn not found", status: 404, want: "FAULT turn"},
		{name: "turn gone", status: 410, want: "FAULT turn"},
	}
}

// TestStopVerdict guards against a soak that lets a lost request pass, or reports one whose
// end is allowed.
func TestStopVerdict(t *testing.T) {
	for _, c := range verdictCases() {
		t.Run(c.name, func(t *testing.T) {
			v := c.verdict()
			v.judge()
			for _, name := range []string{c.ending.String(), "status 0", "status 200", "status 404", "status 410", "status 503"} {
				delete(v.counts, name)
			}
			if c.want == "FAULT log" {
				delete(v.counts, "excused: outlasts the stop")
			}
			want := map[string]int{}
			if c.want != "" {
				want[c.want] = 1
			}
			assert.DeepEqual(t, v.counts, want)
		})
	}
}

func (c verdictCase) verdict() *stopVerdict {
	terminated := time.Now()
	at := func(seconds float64) time.Time { return terminated.Add(time.Duration(seconds * float64(time.Second))) }
	life := &gatewayLife{address: "gateway", started: at(-100), terminated: terminated}
	run := &stopRun{soakSystem: &soakSystem{lives: []*gatewayLife{life}}, plan: &stopPlan{drainTimeout: 8 * time.Second}}
	for _, d := range c.disruptions {
		run.disruptions = append(run.disruptions, &disruption{machine: d.machine, from: at(d.from), to: at(d.to)})
	}
	request := &keptRequest{kind: c.kind, allowed: 5 * time.Second, previous: &keptTurnRecord{}, body: c.body, CallerRequest: &harness.CallerRequest{
		ID: "r", Gateway: "gateway", Sent: at(c.sent), Ended: at(c.ended), Ending: c.ending, Status: c.status,
	}}
	if c.ending == harness.EndedWhole && c.status == 200 {
		for range soakEvents {
			request.Content += "id: 1\n"
		}
	}
	v := &stopVerdict{
		run: run, requests: []*keptRequest{request}, runs: make(map[string][]instanceRun),
		logged: map[*gatewayLife]map[string]string{life: {}}, counts: make(map[string]int),
	}
	if c.isLogged {
		v.logged[life]["r"] = "line"
	}
	for _, end := range c.runs {
		instance := &soakInstance{Runner: &runner.Runner{}}
		if c.instanceClosed != 0 {
			instance.closedAt = at(c.instanceClosed)
		}
		v.runs["r"] = append(v.runs["r"], instanceRun{runner.Run{ID: "r", Began: at(c.sent), Ended: at(end)}, instance})
	}
	return v
}
