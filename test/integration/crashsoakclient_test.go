package integration

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/state/result"
)

const (
	// lethalRounds is how often a program sends a failed request from its start, and
	// lethalTries how often a client tries it each time, at another gateway.
	lethalRounds = 3
	lethalTries  = 2
	// lethalDeadline is how long a client waits for one answer.
	lethalDeadline = 1500 * time.Millisecond
)

// lethalRequest is a request under which instances crash, over all its tries.
type lethalRequest struct {
	program, body string
	// unanswered counts the tries that ended without a response.
	unanswered int
	// answered is when each try was answered, by its id.
	answered map[string]time.Time
	// isRefused is set if the last try was refused for the crashes.
	isRefused bool
	// tries are those that were made, in order.
	tries []lethalTry
	// trace describes the tries.
	trace string
}

// lethalTry is one try of a lethal request.
type lethalTry struct {
	id, address  string
	began, ended time.Time
}

// lethalCallers are callers whose requests crash instances.
type lethalCallers struct {
	soak *soakSystem
	// patience returns how long the client of a try waits for its answer.
	patience func() time.Duration
	stopped  chan struct{}
	running  sync.WaitGroup

	mutex    sync.Mutex
	requests []*lethalRequest
}

func newLethalCallers(s *soakSystem, seed uint64, count int, patience func() time.Duration) *lethalCallers {
	callers := &lethalCallers{soak: s, patience: patience, stopped: make(chan struct{})}
	for index := range count {
		random := rand.New(rand.NewPCG(seed, uint64(5000+index)))
		callers.running.Go(func() {
			for number := 0; !callers.isStopped(); number++ {
				request := &lethalRequest{
					program: fmt.Sprintf("%s%d-%d", lethalText, index, number),
					body:    fmt.Sprintf("%s request %d of caller %d", lethalText, number, index),

					answered: make(map[string]time.Time),
				}
				callers.send(random, request)
				callers.record(request)
				time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
			}
		})
	}
	return callers
}

func (c *lethalCallers) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

func (c *lethalCallers) stop() []*lethalRequest {
	close(c.stopped)
	c.running.Wait()
	return c.requests
}

func (c *lethalCallers) record(request *lethalRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requests = append(c.requests, request)
}

// send makes all tries of the request, each at another gateway than the one before.
func (c *lethalCallers) send(random *rand.Rand, request *lethalRequest) {
	path := []string{"/streams/x", "/reads/x", "/turns/x"}[random.IntN(3)]
	last := ""
	for round := range lethalRounds {
		for try := range lethalTries {
			address := c.otherAddress(random, last)
			if address == "" {
				continue
			}
			last = address
			id := fmt.Sprintf("%s-%d-%d", request.program, round, try)
			if retryAfter := c.try(request, address, path, id); retryAfter > 0 {
				time.Sleep(retryAfter)
			}
		}
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
	}
}

// otherAddress returns the address of a gateway, not the last one if there is another.
func (c *lethalCallers) otherAddress(random *rand.Rand, last string) string {
	for range 10 {
		if address := c.soak.anyAddress(random); address != last {
			return address
		}
	}
	return last
}

// try sends the request to the gateway and returns when the client may come back.
func (c *lethalCallers) try(request *lethalRequest, address, path, id string) (retryAfter time.Duration) {
	request.trace += fmt.Sprintf("\n  %s %s at %s: ", time.Now().Format(traceTime), id, address)
	began := time.Now()
	defer func() { request.tries = append(request.tries, lethalTry{id, address, began, time.Now()}) }()
	sent, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(request.body))
	if err != nil {
		panic(err)
	}
	sent.Host = "desk.example"
	for name, value := range map[string]string{
		runner.HeaderID: id, "X-Program-Id": request.program, "X-Session-Id": request.program, "X-Token-Budget": "100000", "X-Token-Usage": "10,1000",
		"X-Deadline-Ms": strconv.FormatInt(lethalDeadline.Milliseconds(), 10),
	} {
		sent.Header.Set(name, value)
	}
	client := &http.Client{Timeout: c.patience(), Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(sent)
	if err != nil {
		request.unanswered++
		request.trace += err.Error()
		return 0
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		request.unanswered++
	}
	request.answered[id] = time.Now()
	request.isRefused = strings.Contains(string(content), strconv.Quote(result.RequestQuarantined.Info().Name))
	request.trace += fmt.Sprintf("%d %s", response.StatusCode, content)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
