package integration

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/test/harness"
)

// lineRetryPause is the least pause between two tries of a turn.
const lineRetryPause = 100 * time.Millisecond

// turnLine is a line of turns. It is used by one goroutine.
type turnLine struct {
	program string
	// previous is the id of the last turn that was answered whole, on the route. Its request was
	// sent at the time started and answered at the other; retention is that of its route.
	previous  string
	route     string
	started   time.Time
	at        time.Time
	retention time.Duration
	turns     int
	// ended is set once a turn was refused for good.
	ended bool
}

// lineClients take turns of lines and check that no turn is unknown within its retention.
type lineClients struct {
	t    *testing.T
	soak *turnSoak
	http *http.Client
	ids  atomic.Int64
	// isRetained reports whether the last turn of a line is within its retention.
	isRetained func(line *turnLine) bool

	mutex   sync.Mutex
	whole   int
	answers map[string]int
	faults  []string
}

func newLineClients(s *turnSoak) *lineClients {
	c := &lineClients{t: s.t, soak: s, http: newTurnHTTPClient(), answers: make(map[string]int)}
	c.isRetained = func(line *turnLine) bool { return time.Since(line.at) < line.retention }
	s.t.Cleanup(c.http.CloseIdleConnections)
	return c
}

func (c *lineClients) newID() string { return fmt.Sprintf("turn-%d", c.ids.Add(1)) }

// takeTurn takes the next turn of the line, with a new request for each try, until it is
// answered whole or refused for good. It reports whether it was answered whole.
func (c *lineClients) takeTurn(line *turnLine, zone int, route string) bool {
	for deadline := time.Now().Add(harness.Generous); time.Now().Before(deadline) && !line.ended; {
		id, started := c.newID(), time.Now()
		status, body, retryAfter := c.send(zone, route, id, line.program, line.previous, fmt.Sprintf("input %d ", line.turns+1))
		switch status {
		case http.StatusOK:
			line.previous, line.route, line.started = id, route, started
			line.at, line.retention = time.Now(), lineRetention(route)
			line.turns++
			c.mutex.Lock()
			c.whole++
			c.mutex.Unlock()
			return true
		case http.StatusNotFound, http.StatusGone, http.StatusPaymentRequired:
			line.ended = true
			c.checkRefusal(line, id, status, body)
			return false
		}
		time.Sleep(max(retryAfter, lineRetryPause))
	}
	return false
}

// fork returns a line of the program that continues the last turn.
func (l *turnLine) fork(program string) *turnLine {
	forked := *l
	forked.program = program
	return &forked
}

// checkRefusal reports a turn that is unknown within its retention.
func (c *lineClients) checkRefusal(line *turnLine, id string, status int, body string) {
	if status != http.StatusPaymentRequired && c.isRetained(line) {
		since := time.Since(line.at)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.faults = append(c.faults, fmt.Sprintf("%s: request %s of %s: turn %s, number %d, answered whole %v before, is %d: %s",
			clockTime(time.Now()), id, line.program, line.previous, line.turns, since.Round(time.Millisecond), status, body))
	}
}

// send sends one request to the gateway of the zone. The status is 0 if the answer isn't whole.
func (c *lineClients) send(zone int, route, id, program, previous, input string) (status int, body string, retryAfter time.Duration) {
	address := c.soak.addressOf(zone)
	if address == "" {
		return 0, "", 0
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+route+"x", strings.NewReader(input))
	if err != nil {
		return 0, err.Error(), 0
	}
	request.Host = "desk.example"
	for name, value := range map[string]string{
		runner.HeaderID: id, "X-Program-Id": program, "X-Token-Budget": "1000000", "X-Token-Usage": fmt.Sprintf("10,%d", turnMaxTokens),
		"X-Deadline-Ms": strconv.FormatInt(turnPatience.Milliseconds(), 10),
	} {
		request.Header.Set(name, value)
	}
	if previous != "" {
		request.Header.Set("X-Previous-Turn", previous)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.count("no answer")
		return 0, err.Error(), 0
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		c.count("broken")
		return 0, err.Error(), 0
	}
	c.count(fmt.Sprintf("%d %s", response.StatusCode, failureType(string(raw))))
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, string(raw), time.Duration(seconds * float64(time.Second))
}

func (c *lineClients) count(answer string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answers[answer]++
}

// report logs the counts and fails the test for each fault.
func (c *lineClients) report() {
	c.t.Helper()
	c.soak.log("%d turns whole, answers: %v", c.whole, c.answers)
	for _, fault := range c.faults {
		c.t.Error(fault)
	}
	if len(c.faults) > 0 {
		c.soak.logDeletions()
	}
}

// addressOf returns the address of the gateway for callers, empty while it is down.
func (s *turnSoak) addressOf(index int) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.addresses[index]
}

// logDeletions logs the lines of storage nodes about deleted turns.
func (s *turnSoak) logDeletions() {
	for _, process := range s.processes {
		for line := range strings.Lines(process.Output()) {
			if strings.Contains(line, "turns deleted") {
				s.t.Log(strings.TrimSpace(line))
			}
		}
	}
}
