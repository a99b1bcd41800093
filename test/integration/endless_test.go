package integration

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/test/harness"
)

const (
	endlessRequests    = 60
	endlessConcurrency = 6
	// endlessDeadline is the X-Deadline-Ms of the requests.
	endlessDeadline = 3 * time.Second
	// maxGatewayMemory is the most resident memory that a gateway may reach, in kB.
	maxGatewayMemory = 60 << 10
	// maxHeadSent is the most that a connection may take of a head without end, in bytes.
	maxHeadSent = 8 << 20
)

// endlessConfiguration has a route of plain requests and one of streams that may be resumed.
func endlessConfiguration() map[string]any {
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 5000,
			"service": name, "attempts": 3, "resumable": kind == "stream",
		}
	}
	return map[string]any{
		"version": 1, "routes": []map[string]any{route("plain", "safe"), route("stream", "stream")},
		"services": []map[string]any{{"name": "plain"}, {"name": "stream"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// TestAnswersWithoutEndHarmNoOtherRequest guards against a gateway whose memory grows with what one
// faulty instance sends, and against requests that fail though other instances could serve them.
func TestAnswersWithoutEndHarmNoOtherRequest(t *testing.T) {
	t.Parallel()
	for _, tried := range []struct {
		name, route string
		fault       runner.Fault
	}{
		{"proper answers", "plain", runner.None},
		{"bytes without a line end", "plain", runner.EndlessBytes},
		{"one header line", "plain", runner.EndlessHeaderLine},
		{"header lines", "plain", runner.EndlessHeaders},
		{"interim responses", "plain", runner.EndlessInterims},
		{"a slow head", "plain", runner.SlowHead},
		{"comments", "stream", runner.EndlessComments},
	} {
		t.Run(tried.name, func(t *testing.T) {
			s := newSoakSystem(t, 1, soakLayout{gateways: 1, drainTimeout: 4 * time.Second, configuration: endlessConfiguration()})
			events := 0
			if tried.route == "stream" {
				events = 4
			}
			for range 3 {
				s.addInstanceOf(soakService{name: tried.route, version: "v1", events: events})
			}
			s.awaitAnswer(tried.route)
			faulty := s.instances[0]
			faulty.SetFault(tried.fault, -1)
			whole, slowest := s.askConcurrently(tried.route)
			peak := peakMemory(t, s.gateways[0].process.PID())
			t.Logf("%d of %d whole, the slowest in %v, gateway's peak memory %d kB, most sent on a connection %d bytes",
				whole, endlessRequests, slowest.Round(time.Millisecond), peak, faulty.MostSent())
			assert.Equal(t, whole, endlessRequests)
			assert.Assert(t, peak < maxGatewayMemory, "%d kB", peak)
			assert.Assert(t, faulty.MostSent() < maxHeadSent)
		})
	}
}

// awaitAnswer waits until the gateway answers a request of the route.
func (s *soakSystem) awaitAnswer(route string) {
	s.t.Helper()
	harness.Eventually(s.t, func() (bool, string) {
		err := s.ask(http.DefaultClient, route, "first-"+strconv.FormatInt(time.Now().UnixNano(), 16))
		return err == nil, fmt.Sprint(err)
	})
}

// askConcurrently sends requests and returns how many were answered whole, and the longest time
// that one took.
func (s *soakSystem) askConcurrently(route string) (whole int, slowest time.Duration) {
	var mutex sync.Mutex
	var running sync.WaitGroup
	for client := range endlessConcurrency {
		running.Go(func() {
			for number := client; number < endlessRequests; number += endlessConcurrency {
				began := time.Now()
				err := s.ask(http.DefaultClient, route, fmt.Sprintf("%s-%d", route, number))
				mutex.Lock()
				slowest = max(slowest, time.Since(began))
				if err == nil {
					whole++
				} else {
					s.t.Log(err)
				}
				mutex.Unlock()
			}
		})
	}
	running.Wait()
	return whole, slowest
}

// ask sends a request of the route and returns an error unless its answer is whole.
func (s *soakSystem) ask(client *http.Client, route, id string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.lives[0].address+"/"+route+"/x", strings.NewReader("input"))
	if err != nil {
		return err
	}
	request.Host = "desk.example"
	request.Header.Set(runner.HeaderID, id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(endlessDeadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %d, %w: %.200s", id, response.StatusCode, err, body)
	}
	if route == "stream" && strings.Count(string(body), "data: ") != 4 {
		return fmt.Errorf("%s: %d bytes without the events", id, len(body))
	}
	return nil
}

// peakMemory returns the most resident memory that the process has had, in kB.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(raw)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			assert.NilError(t, err)
			return kilobytes
		}
	}
	t.Fatal("the process has no VmHWM")
	return 0
}
