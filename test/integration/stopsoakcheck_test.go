package integration

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/test/harness"
)

const (
	// contactTime is how long before a request no unplanned fault may have been.
	contactTime = 3 * time.Second
	// recoveryTime is how long after the final fault turns must go on.
	recoveryTime = 12 * time.Second
	// logTime is how long a gateway may take to log the end of a request.
	logTime = 100 * time.Millisecond

	excusedByDeadline = "deadline"
)

// instanceRun is a run and the instance that ran it.
type instanceRun struct {
	runner.Run
	instance *soakInstance
}

// stopVerdict judges the requests of a soak by what clients and instances saw.
type stopVerdict struct {
	run      *stopRun
	requests []*keptRequest
	runs     map[string][]instanceRun
	// logged are the log lines of requests that weren't answered, by process.
	logged map[*gatewayLife]map[string]string
	counts map[string]int
	// faults are described with all that they rest on, notes are requests that took all their time.
	faults, notes []string
}

func newStopVerdict(run *stopRun, clients *keptClients) *stopVerdict {
	v := &stopVerdict{
		run: run, requests: clients.requests, runs: make(map[string][]instanceRun),
		logged: make(map[*gatewayLife]map[string]string), counts: make(map[string]int),
	}
	for _, list := range [][]*soakInstance{run.instances, run.closed} {
		for _, instance := range list {
			for _, one := range instance.Runs() {
				v.runs[one.ID] = append(v.runs[one.ID], instanceRun{one, instance})
			}
		}
	}
	for _, life := range run.lives {
		v.logged[life] = unansweredLines(life.process.Output())
	}
	return v
}

// unansweredLines returns the log lines, by request, that say why it wasn't answered.
func unansweredLines(output string) map[string]string {
	lines := make(map[string]string)
	for line := range strings.Lines(output) {
		isFailure := strings.Contains(line, `msg="not answered"`) && !strings.Contains(line, `reason=""`)
		if !isFailure && !strings.Contains(line, `msg="request cut by the end of the process"`) {
			continue
		}
		for _, field := range strings.Fields(line) {
			if id, found := strings.CutPrefix(field, "request="); found {
				lines[id] = line
			}
		}
	}
	return lines
}

func (v *stopVerdict) fault(kind string, request *keptRequest, text string, values ...any) {
	v.counts["FAULT "+kind]++
	v.faults = append(v.faults, fmt.Sprintf("%s: %v: %s%s", kind, request, fmt.Sprintf(text, values...), v.trace(request)))
}

// judge checks all requests.
func (v *stopVerdict) judge() {
	for _, request := range v.requests {
		v.counts[request.Ending.String()]++
		v.counts[fmt.Sprint("status ", request.Status)]++
		v.checkRuns(request)
		v.checkTurn(request)
		v.checkWhole(request)
		v.checkLost(request)
	}
}

// checkRuns checks that a request ran once at most, and not at all if a status promised so.
func (v *stopVerdict) checkRuns(request *keptRequest) {
	runs := v.runs[request.ID]
	if request.kind != keptRead && len(runs) > 1 {
		v.fault("twice", request, "ran %d times", len(runs))
	}
	switch request.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusPaymentRequired:
		if request.kind != keptRead && len(runs) > 0 {
			v.fault("promise", request, "ran all the same")
		}
	}
	for _, run := range runs {
		if run.Body != request.body {
			v.fault("body", request, "an instance got %q in place of %q", run.Body, request.body)
		}
	}
}

// checkTurn checks that a turn that was answered whole is found.
func (v *stopVerdict) checkTurn(request *keptRequest) {
	if request.previous != nil && (request.Status == http.StatusNotFound || request.Status == http.StatusGone) {
		v.fault("turn", request, "goes on from %s, which was answered whole: %s", request.previous.id, request.Content)
	}
}

// checkWhole checks that what looks like a whole stream is one.
func (v *stopVerdict) checkWhole(request *keptRequest) {
	if request.Ending != harness.EndedWhole || request.Status != http.StatusOK || request.kind != keptTurn && request.kind != keptLong {
		return
	}
	events := strings.Count(request.Content, "id: ")
	if events != soakEvents {
		v.fault("order", request, "has %d of %d events", events, soakEvents)
	}
}

// checkLost checks that a request that was read has ended with a whole response, or that
// its end is allowed, and that the log names it.
func (v *stopVerdict) checkLost(request *keptRequest) {
	ran := len(v.runs[request.ID]) > 0
	if request.Ending == harness.EndedWhole || request.Ending == harness.EndedUnread && !ran || request.Ending == harness.EndedSilent && !ran {
		return
	}
	life := v.lifeOf(request)
	if v.mustBeLogged(life, request) && v.logged[life][request.ID] == "" {
		v.fault("log", request, "no log line gives a reason")
	}
	if excuse := v.excuse(life, request); excuse != "" {
		v.counts["excused: "+excuse]++
		if excuse == excusedByDeadline {
			v.notes = append(v.notes, fmt.Sprintf("%s: %v%s", excuse, request, v.trace(request)))
		}
		return
	}
	v.fault("lost", request, "%v", request.Ending)
}

// mustBeLogged reports whether the gateway has seen the request end without a whole response.
// One that was paused may have sent the rest to a client that had left.
func (v *stopVerdict) mustBeLogged(life *gatewayLife, request *keptRequest) bool {
	if request.Ending == harness.EndedSilent && v.isDisrupted(life.index, request) {
		return false
	}
	return life.killed.IsZero() || request.Ended.Before(life.killed.Add(-logTime))
}

// excuse returns why a request may have ended without a whole response, or "".
func (v *stopVerdict) excuse(life *gatewayLife, request *keptRequest) string {
	switch {
	case request.kind == keptUnread || request.kind == keptWithheld:
		return "the client"
	case request.Ended.Sub(request.Sent) >= request.allowed:
		return excusedByDeadline
	case v.isDisrupted(life.index, request):
		return "gateway disrupted"
	case v.isDisrupted(coreMachine, request):
		return "core disrupted"
	case v.instanceEnded(request):
		return "instance ended"
	case v.outlastsStop(life, request):
		return "outlasts the stop"
	}
	return ""
}

// isDisrupted reports whether an unplanned fault was there from contactTime before the
// request to its end.
func (v *stopVerdict) isDisrupted(machine int, request *keptRequest) bool {
	for _, d := range v.run.disruptions {
		isOver := !d.to.IsZero() && d.to.Before(request.Sent.Add(-contactTime))
		if d.machine == machine && !isOver && !d.from.After(request.Ended) {
			return true
		}
	}
	return false
}

// instanceEnded reports whether an instance ended while it worked on the request.
func (v *stopVerdict) instanceEnded(request *keptRequest) bool {
	for _, run := range v.runs[request.ID] {
		ended := run.instance.closedAt
		if !ended.IsZero() && !ended.Before(run.Began) && !ended.After(request.Ended) {
			return true
		}
	}
	return false
}

// outlastsStop reports whether an instance was still at work in the last sixth of the drain
// timeout on a request that was sent in its first three eighths, or before.
func (v *stopVerdict) outlastsStop(life *gatewayLife, request *keptRequest) bool {
	drain := v.run.plan.drainTimeout
	lastPart := life.terminated.Add(drain * 5 / 6)
	if life.terminated.IsZero() || request.Ended.Before(lastPart) || request.Sent.After(life.terminated.Add(drain*3/8)) {
		return false
	}
	for _, run := range v.runs[request.ID] {
		if run.Ended.IsZero() || run.Ended.After(lastPart) {
			return true
		}
	}
	return false
}

// lifeOf returns the process that the request was sent to.
func (v *stopVerdict) lifeOf(request *keptRequest) *gatewayLife {
	var found *gatewayLife
	for _, life := range v.run.lives {
		if life.address == request.Gateway && !life.started.After(request.Sent) {
			found = life
		}
	}
	return found
}

// trace describes what is known of a request.
func (v *stopVerdict) trace(request *keptRequest) string {
	life := v.lifeOf(request)
	text := fmt.Sprintf("\n  sent %v, ended %v, allowed %v", request.Sent.Format(traceTime), request.Ended.Format(traceTime), request.allowed)
	if life != nil {
		text += fmt.Sprintf("\n  edge-%d, up since %v", life.index, life.started.Format(traceTime))
		if !life.terminated.IsZero() {
			text += fmt.Sprintf(", SIGTERM %v before it was sent", request.Sent.Sub(life.terminated).Round(time.Millisecond))
		}
		if line := v.logged[life][request.ID]; line != "" {
			text += "\n  " + strings.TrimSpace(line)
		}
	}
	for _, run := range v.runs[request.ID] {
		text += fmt.Sprintf("\n  ran at %s from %v to %v", run.instance.Instance, run.Began.Format(traceTime), run.Ended.Format(traceTime))
	}
	return text
}

const traceTime = "15:04:05.000"
