package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/runner"
)

var (
	crashSoakSeeds    = flag.Int("crashsoak.seeds", 2, "number of seeds of TestLethalRequestsStopUnderFaults")
	crashSoakFirst    = flag.Uint64("crashsoak.first", 1, "first of these seeds")
	crashSoakTime     = flag.Duration("crashsoak.time", 15*time.Second, "how long faults are injected for each seed")
	crashSoakGateways = flag.Int("crashsoak.gateways", 4, "number of gateways, two at least")
	crashSoakCallers  = flag.Int("crashsoak.callers", 3, "number of callers whose requests crash instances")
)

const (
	// lethalText is in the body of requests under which each instance crashes.
	lethalText = "lethal"
	// maxCrashes is the number of instances that may crash under one request.
	maxCrashes = 3
	// crashSoakInstances is the number of instances that the others are replaced to.
	crashSoakInstances = 10
	// crashDelay is how long a lethal request runs before its instance crashes.
	crashDelay = 10 * time.Millisecond
	// silenceTime is how long the machine of an instance that has fallen silent stays so.
	silenceTime = 2 * time.Second
	// knowTime is how long after the end of an exchange, or of its instance, other gateways know
	// that the instance may have ended.
	knowTime = 500 * time.Millisecond
	// watchTime is how long a gateway looks for the end of an instance after an exchange.
	watchTime = 3200 * time.Millisecond
	// pauseTime is the longest pause of a gateway.
	pauseTime = time.Second
	// crashRestart is how long after a crash another instance takes its place.
	crashRestart = 600 * time.Millisecond
)

// TestLethalRequestsStopUnderFaults guards against requests that crash one instance after the
// other, at any gateway, and against refusing others, under which fewer instances have ended,
// whatever happens to gateways, instances, storage nodes and the store meanwhile.
func TestLethalRequestsStopUnderFaults(t *testing.T) {
	for index := range *crashSoakSeeds {
		seed := *crashSoakFirst + uint64(index)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakCrashes(t, seed) })
	}
}

func soakCrashes(t *testing.T, seed uint64) {
	s := newSoakSystem(t, seed, soakLayout{
		gateways: *crashSoakGateways, storageNodes: soakStorageNodes, drainTimeout: 4 * time.Second,
		configuration: crashSoakConfiguration(),
	})
	s.lethalText = lethalText
	patience := func() time.Duration { return lethalDeadline }
	hasUnseenEnds := seed%2 == 0
	if hasUnseenEnds {
		patience = s.drawUnseenEnds(seed)
	}
	for range crashSoakInstances {
		s.addInstance("v1")
	}
	stopReplacing := s.replaceCrashed()
	defer stopReplacing()
	clients := newSoakClients(s, seed)
	clients.awaitFirstStream(t)
	lethal := newLethalCallers(s, seed, *crashSoakCallers, patience)
	s.inject(*crashSoakTime)
	requests := lethal.stop()
	total := clients.stop()
	t.Logf("clients: %d whole, %d given up, %d resumed, %d refused", total.whole, total.givenUp, total.resumed, len(total.quarantined))
	faults := append(total.faults, judgeHarmless(s, total.quarantined)...)
	faults = append(faults, judgeSends(t, s, requests)...)
	if !hasUnseenEnds {
		faults = append(faults, judgeLethal(t, s, requests)...)
	}
	for _, fault := range faults {
		t.Error(fault)
	}
	assert.Assert(t, total.whole > 0)
}

func crashSoakConfiguration() map[string]any {
	route := func(name, kind string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 3000,
			"service": "app", "attempts": 2, "resumable": resumable,
		}
	}
	return map[string]any{
		"version":  1,
		"routes":   []map[string]any{route("streams", "stream", true), route("reads", "safe", false), route("turns", "stream", false)},
		"services": []map[string]any{{"name": "app", "engine": map[string]any{"stream_stride": 25}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// replaceCrashed starts others in the place of crashed instances, until the returned function
// is called.
func (s *soakSystem) replaceCrashed() (stop func()) {
	stopped := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for !awaitStop(stopped, 10*time.Millisecond) {
			for _, crashed := range s.takeCrashed() {
				running.Go(func() {
					if crashed.ending == runner.FallsSilent {
						awaitStop(stopped, silenceTime)
					}
					s.restart(crashed, stopped)
				})
			}
		}
	})
	return func() {
		close(stopped)
		running.Wait()
	}
}

// restart replaces a crashed instance after a while, unless the test stops before.
func (s *soakSystem) restart(crashed *soakInstance, stopped <-chan struct{}) {
	s.closeInstance(crashed)
	if !awaitStop(stopped, crashRestart) {
		s.store.Remove("servers", crashed.Instance)
		s.addInstance(crashed.version)
	}
}

// awaitStop waits for the time and reports whether the test stops before.
func awaitStop(stopped <-chan struct{}, pause time.Duration) bool {
	select {
	case <-stopped:
		return true
	case <-time.After(pause):
		return false
	}
}

// takeCrashed takes crashed instances from the list.
func (s *soakSystem) takeCrashed() (crashed []*soakInstance) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	left := s.instances[:0]
	for _, instance := range s.instances {
		if instance.CrashedAt().IsZero() || instance.ending == runner.StartsAgain {
			left = append(left, instance)
			continue
		}
		crashed = append(crashed, instance)
	}
	s.instances = left
	return crashed
}

// judgeLethal describes the requests under which more instances crashed than may.
//
// A try that a gateway didn't answer, since it was killed or paused, may have crashed an
// instance that nobody could report. A gateway that started while the store was silent may
// not know the storage nodes yet, so that it neither reports nor learns anything. A try that
// was answered at its deadline while its instance was silent hadn't ended it by then.
func judgeLethal(t *testing.T, s *soakSystem, requests []*lethalRequest) (faults []string) {
	counts := make(map[string]int)
	for _, request := range requests {
		crashed, later := s.crashedUnder(request)
		counts[fmt.Sprint(len(crashed), " crashed")]++
		counts["crashes after the answer"] += later
		counts["unanswered tries"] += request.unanswered
		if request.isRefused {
			counts["refused in the end"]++
		}
		unreported := s.countLogged("crash not confirmed by storage nodes", "needed=0", "fingerprint="+s.fingerprintOf(request.program))
		counts["crashes that couldn't be reported"] += unreported
		if len(crashed) > maxCrashes+request.unanswered+unreported+later {
			faults = append(faults, fmt.Sprintf("%d instances crashed under %q: %v; %s", len(crashed), request.body, crashed, request.trace+s.logOf(request.program)))
		}
	}
	t.Logf("%d lethal requests: %v", len(requests), counts)
	return faults
}

// drawUnseenEnds makes instances end in all ways that a gateway doesn't see at once, and clients
// leave before their answers. It returns how long the client of a try waits.
func (s *soakSystem) drawUnseenEnds(seed uint64) (patience func() time.Duration) {
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(seed, 7000))
	draw := func(count int) int {
		mutex.Lock()
		defer mutex.Unlock()
		return random.IntN(count)
	}
	endings := []runner.Ending{runner.Crashes, runner.FallsSilent, runner.StartsAgain, runner.StopsAccepting}
	delays := []time.Duration{crashDelay, 300 * time.Millisecond}
	s.drawEnding = func() (runner.Ending, time.Duration) { return endings[draw(len(endings))], delays[draw(len(delays))] }
	waits := []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, lethalDeadline, lethalDeadline}
	return func() time.Duration { return waits[draw(len(waits))] }
}

// lethalRun is a run of a lethal request, which ends its instance.
type lethalRun struct {
	instance, id string
	began, ended time.Time
}

// judgeSends describes the requests that were sent to an instance after as many as may had
// ended under them, as far as the gateways could know.
func judgeSends(t *testing.T, s *soakSystem, requests []*lethalRequest) (faults []string) {
	sent := make(map[string]int)
	for _, request := range requests {
		runs := s.lethalRuns(request)
		sent[fmt.Sprint(len(runs), " sends")]++
		for _, run := range runs {
			known := s.knownEnds(request, runs, run)
			if len(known) >= maxCrashes {
				faults = append(faults, fmt.Sprintf("%q was sent to %s by %s at %s after %v had ended under it: %s%s", request.body,
					run.instance, run.id, run.began.Format(traceTime), known, request.trace, s.logOf(request.program)))
			}
		}
	}
	t.Logf("%d lethal requests: %v", len(requests), sent)
	return faults
}

// lethalRuns returns the runs of the request in order.
func (s *soakSystem) lethalRuns(request *lethalRequest) (runs []lethalRun) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, instance := range slices.Concat(s.instances, s.closed) {
		for _, run := range instance.Runs() {
			if run.Body == request.body {
				runs = append(runs, lethalRun{instance.Instance, run.ID, run.Began, run.Ended})
			}
		}
	}
	slices.SortFunc(runs, func(a, b lethalRun) int { return a.began.Compare(b.began) })
	return runs
}

// knownEnds returns the processes that had ended under the request when the run began and of
// which the gateways knew. One whose gateway was disturbed after it sent the request may have
// told nobody, and sends at the same process count once.
func (s *soakSystem) knownEnds(request *lethalRequest, runs []lethalRun, current lethalRun) (known []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	last := make(map[string]time.Time)
	for _, run := range runs {
		exchanged, wasDisturbed := s.endOfTry(request, run.id)
		knownAt := run.ended
		if run.id != current.id && exchanged.After(knownAt) {
			knownAt = exchanged
		}
		isOneProcess := run.began.Before(last[run.instance])
		if run.ended.IsZero() || wasDisturbed || isOneProcess || !knownAt.Add(knowTime).Before(current.began) {
			continue
		}
		last[run.instance] = run.ended
		known = append(known, run.instance)
	}
	return known
}

// endOfTry returns when the client had its answer or left, and whether the gateway was killed,
// stopped or paused while it could have told others. The mutex must be held.
func (s *soakSystem) endOfTry(request *lethalRequest, id string) (ended time.Time, wasDisturbed bool) {
	for _, try := range request.tries {
		if try.id != id {
			continue
		}
		ended = try.ended
		for _, life := range s.lives {
			if life.address == try.address && life.wasDisturbed(try.began.Add(-pauseTime), try.ended.Add(watchTime)) {
				wasDisturbed = true
			}
		}
	}
	return ended, wasDisturbed
}

// wasDisturbed reports whether the gateway was killed, stopped, paused or resumed between both
// times.
func (l *gatewayLife) wasDisturbed(from, to time.Time) bool {
	return slices.ContainsFunc(l.disturbed, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// judgeHarmless describes the programs that were refused though fewer instances than may
// have ended under their streams.
func judgeHarmless(s *soakSystem, quarantined []string) (faults []string) {
	for _, program := range quarantined {
		ended := s.endedUnder(program)
		if len(ended) < maxCrashes {
			faults = append(faults, fmt.Sprintf("%s was refused, %d instances have ended under it: %v%s", program, len(ended), ended, s.logOf(program)))
		}
	}
	return faults
}

// endedUnder returns the instances that have ended while they worked on a request of the
// program, or before they read one that was sent to them, which only gateways and storage
// nodes know. A gateway's line about it may be missing, since it logs at a limited rate.
func (s *soakSystem) endedUnder(program string) (ended []string) {
	fingerprint := s.fingerprintOf(program)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, instance := range slices.Concat(s.closed, s.instances) {
		if instance.ending == runner.StartsAgain {
			ended = append(ended, processesEndedUnder(instance, program)...)
			continue
		}
		at := instance.CrashedAt()
		if at.IsZero() {
			at = instance.closedAt
		}
		for _, run := range instance.Runs() {
			isOver := !run.Ended.IsZero() && run.Ended.Before(at)
			if run.Header.Get("X-Program-Id") == program && !run.Began.After(at) && !isOver {
				ended = append(ended, instance.Instance)
			}
		}
		if !slices.Contains(ended, instance.Instance) && s.isLoggedAsEnded(instance, program, fingerprint) {
			ended = append(ended, instance.Instance)
		}
	}
	return ended
}

// processesEndedUnder returns the ends of an instance that starts again while it worked on a
// request of the program.
func processesEndedUnder(instance *soakInstance, program string) (ended []string) {
	ends := instance.Ends()
	if !instance.closedAt.IsZero() {
		ends = append(ends, instance.closedAt)
	}
	for _, at := range ends {
		isUnder := func(run runner.Run) bool {
			return run.Header.Get("X-Program-Id") == program && !run.Began.After(at) && (run.Ended.IsZero() || !run.Ended.Before(at))
		}
		if slices.ContainsFunc(instance.Runs(), isUnder) {
			ended = append(ended, instance.Instance+" at "+at.Format(traceTime))
		}
	}
	return ended
}

// isLoggedAsEnded reports whether a gateway or a storage node has logged that the instance
// ended under a request of the program. The mutex must be held.
func (s *soakSystem) isLoggedAsEnded(instance *soakInstance, program, fingerprint string) bool {
	if len(s.logged("back end ended under request", "program="+program+" ", "instance="+instance.Instance+" ")) > 0 {
		return true
	}
	name := instance.Address + " " + instance.Instance
	for _, machine := range s.storage {
		for line := range strings.Lines(machine.output()) {
			if !strings.Contains(line, "request quarantined") || !strings.Contains(line, "fingerprint="+fingerprint+" ") {
				continue
			}
			if strings.Contains(line, name+",") || strings.Contains(line, name+`"`) {
				return true
			}
		}
	}
	return false
}

// crashedUnder returns the runs of the request, each of which crashed its instance, and how
// many of these held their connections until after the answer to the try.
func (s *soakSystem) crashedUnder(request *lethalRequest) (crashed []string, later int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, list := range [][]*soakInstance{s.instances, s.closed} {
		for _, instance := range list {
			for _, run := range instance.Runs() {
				if run.Body != request.body {
					continue
				}
				crashed = append(crashed, fmt.Sprintf("%s by %s at %s", instance.Instance, run.ID, run.Began.Format(traceTime)))
				if answered := request.answered[run.ID]; !answered.IsZero() && answered.Before(instance.BrokenAt()) {
					later++
				}
			}
		}
	}
	return crashed, later
}

// logged returns the lines of all gateways that have all texts. The mutex must be held.
func (s *soakSystem) logged(texts ...string) (lines []string) {
	for _, life := range s.lives {
		for line := range strings.Lines(life.process.Output()) {
			if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

func (s *soakSystem) countLogged(texts ...string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.logged(texts...))
}

// fingerprintOf returns the fingerprint of the program's request as the log has it, or
// "unknown" if no instance has ended under it.
func (s *soakSystem) fingerprintOf(program string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, line := range s.logged("back end ended under request", "program="+program+" ") {
		for _, field := range strings.Fields(line) {
			if fingerprint, found := strings.CutPrefix(field, "fingerprint="); found {
				return fingerprint
			}
		}
	}
	return "unknown"
}

// logOf returns the lines of all gateways about the program.
func (s *soakSystem) logOf(program string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found strings.Builder
	for _, line := range s.logged(program + "-") {
		found.WriteString("\n  " + strings.TrimSpace(line))
	}
	return found.String()
}
