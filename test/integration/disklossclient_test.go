package integration

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marblering/marblering/lab/runner"
)

const (
	// diskLossBudget is the budget of each program, in tokens. No program uses it up.
	diskLossBudget = 1_000_000
	// diskLossRetryPause is the pause after a try that failed.
	diskLossRetryPause = 50 * time.Millisecond
	// diskLossPatience is the time allowed for one answer.
	diskLossPatience = 2 * time.Second
)

// lossLine is the line of turns of one program. It is used by one goroutine.
type lossLine struct {
	program string
	// previous is the last turn that was answered whole, at the time at; empty before the first.
	previous string
	at       time.Time
	turns    int
}

// lossClients take turns of programs all the time, and check that no turn that was answered whole
// is unknown within its retention.
type lossClients struct {
	t         *testing.T
	system    *diskLossSystem
	http      *http.Client
	ids       atomic.Int64
	stopped   chan struct{}
	running   sync.WaitGroup
	isHolding atomic.Bool

	mutex sync.Mutex
	// current are the lines that the clients go on with, as of their last whole turns.
	current []lossLine
	// finished are the last turns of earlier programs.
	finished []lossLine
	whole    int
	answers  map[string]int
	faults   []string
}

func newLossClients(s *diskLossSystem) *lossClients {
	c := &lossClients{
		t: s.t, system: s, stopped: make(chan struct{}), answers: make(map[string]int), current: make([]lossLine, s.shape.programs),
		http: &http.Client{Timeout: diskLossPatience, Transport: &http.Transport{MaxIdleConnsPerHost: s.shape.programs}},
	}
	s.t.Cleanup(c.http.CloseIdleConnections)
	for index := range s.shape.programs {
		random := rand.New(rand.NewPCG(s.seed, uint64(index)))
		c.running.Go(func() { c.run(index, random) })
	}
	return c
}

func (c *lossClients) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

func (c *lossClients) stop() {
	close(c.stopped)
	c.running.Wait()
}

// hold has all clients stay with the programs that they have.
func (c *lossClients) hold(isHeld bool) { c.isHolding.Store(isHeld) }

// run takes turns until the clients are stopped, at the client's share of the rate.
func (c *lossClients) run(index int, random *rand.Rand) {
	line, next := c.newLine(), time.Now()
	for !c.isStopped() {
		if most := c.system.shape.lineTurns; most > 0 && line.turns >= most && !c.isHolding.Load() {
			c.mutex.Lock()
			c.finished = append(c.finished, line)
			c.mutex.Unlock()
			line = c.newLine()
		}
		if !c.takeTurn(&line, random) {
			time.Sleep(diskLossRetryPause)
			continue
		}
		c.mutex.Lock()
		c.current[index] = line
		c.mutex.Unlock()
		if rate := c.system.shape.rate; rate > 0 {
			pause := time.Duration(float64(c.system.shape.programs) / rate * float64(time.Second))
			next = next.Add(pause)
			if now := time.Now(); next.Before(now) {
				next = now
			}
			time.Sleep(time.Until(next))
		}
	}
}

func (c *lossClients) newLine() lossLine {
	return lossLine{program: fmt.Sprint("program-", c.ids.Add(1))}
}

// takeTurn tries the next turn of the line once, and reports whether it was answered whole.
func (c *lossClients) takeTurn(line *lossLine, random *rand.Rand) bool {
	id, began := fmt.Sprint("turn-", c.ids.Add(1)), time.Now()
	status, body, address := c.send(id, line, random)
	answer := strconv.Itoa(status)
	if status != http.StatusOK {
		answer += " " + failureType(body)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answers[answer]++
	switch status {
	case http.StatusOK:
		c.whole++
		line.previous, line.at = id, time.Now()
		line.turns++
		return true
	case http.StatusNotFound, http.StatusGone:
		if line.previous != "" && time.Since(line.at) < diskLossRetention {
			c.faults = append(c.faults, fmt.Sprintf("%s: turn %s of %s, answered whole at %s, is %d at %s for request %s sent at %s: %s",
				clockTime(time.Now()), line.previous, line.program, clockTime(line.at), status, address, id, clockTime(began), body))
		}
		*line = c.newLine()
	}
	return false
}

// send returns the status, 0 if there was no whole answer, and the start of the body of a failure.
func (c *lossClients) send(id string, line *lossLine, random *rand.Rand) (status int, body, address string) {
	address = c.system.anyAddress(random)
	if address == "" {
		return 0, "", ""
	}
	input := "in " + id + " "
	input += strings.Repeat(".", max(0, c.system.shape.turnBytes-len(input)))
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/turns/x", strings.NewReader(input))
	if err != nil {
		return 0, "", address
	}
	request.Host = "desk.example"
	for name, value := range map[string]string{
		runner.HeaderID: id, "X-Program-Id": line.program, "X-Token-Budget": strconv.Itoa(diskLossBudget), "X-Token-Usage": "10,100",
		"X-Deadline-Ms": strconv.FormatInt(diskLossPatience.Milliseconds(), 10),
	} {
		request.Header.Set(name, value)
	}
	if line.previous != "" {
		request.Header.Set("X-Previous-Turn", line.previous)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, "", address
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(response.Body, turnMaxBody))
		return response.StatusCode, string(raw), address
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
	}
	if lines.Err() != nil {
		return 0, "", address
	}
	return response.StatusCode, "", address
}

// awaitContinued waits until each client has had a whole turn since the time, at most for the
// span after it. It returns the times of those, and the programs that had none.
func (c *lossClients) awaitContinued(since time.Time, span time.Duration) (after []time.Duration, missing []string) {
	for deadline := since.Add(span); ; time.Sleep(20 * time.Millisecond) {
		after, missing = c.continuedSince(since)
		if len(missing) == 0 || time.Now().After(deadline) {
			return after, missing
		}
	}
}

func (c *lossClients) continuedSince(since time.Time) (after []time.Duration, missing []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, line := range c.current {
		if line.at.After(since) {
			after = append(after, line.at.Sub(since))
		} else {
			missing = append(missing, line.program)
		}
	}
	return after, missing
}

// awaitNew takes the first turns of new programs, and returns how many were answered whole until
// diskLossRecovery after the time.
func (c *lossClients) awaitNew(programs int, since time.Time) int {
	lines := make([]lossLine, programs)
	for index := range lines {
		lines[index] = c.newLine()
	}
	return c.takeEach(lines, since.Add(diskLossRecovery))
}

// takeEach takes one turn of each line, and returns how many were answered whole in time.
func (c *lossClients) takeEach(lines []lossLine, until time.Time) int {
	var taking sync.WaitGroup
	var whole atomic.Int64
	next := make(chan lossLine)
	for index := range c.system.shape.programs {
		random := rand.New(rand.NewPCG(c.system.seed, uint64(1000+index)))
		taking.Go(func() {
			for line := range next {
				for program := line.program; line.program == program; time.Sleep(diskLossRetryPause) {
					if c.takeTurn(&line, random) {
						whole.Add(1)
						break
					}
					if time.Now().After(until) {
						c.note("program %s had no whole turn until %s; its last was %s at %s", program, clockTime(until), line.previous, clockTime(line.at))
						break
					}
				}
			}
		})
	}
	for _, line := range lines {
		next <- line
	}
	close(next)
	taking.Wait()
	return int(whole.Load())
}

// recentlyFinished returns the last turns of programs that are within their retention until the
// recovery time is over, the oldest first.
func (c *lossClients) recentlyFinished() []lossLine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var recent []lossLine
	for _, line := range c.finished {
		if time.Since(line.at) < diskLossRetention-2*diskLossRecovery {
			recent = append(recent, line)
		}
	}
	return recent
}

func (c *lossClients) note(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, arguments...))
}

// report logs the counts and fails the test if there are faults.
func (c *lossClients) report() {
	c.t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.system.log("%d turns whole, answers: %v", c.whole, c.answers)
	for _, fault := range c.faults {
		c.t.Error(fault)
	}
}
