package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/state/result"
)

const (
	// latePatience is how long a client that came back tries to get its stream.
	latePatience = 3 * time.Second
	// lateLastPatience is how long it tries once the faults are over.
	lateLastPatience = 15 * time.Second
	// lateAbsences is how often a client comes back to a stream.
	lateAbsences = 4
)

// lateCallers are clients that read streams all the time, and come back to those that break.
type lateCallers struct {
	soak    *lateSoak
	stopped chan struct{}
	running sync.WaitGroup

	mutex sync.Mutex
	total lateTotal
}

// lateTotal counts what the clients saw.
type lateTotal struct {
	// whole streams were received completely, ended ones were refused for good, and
	// given up ones got neither in time.
	whole, ended, givenUp int
	// resumed counts the tries that continued a stream, and resumedLate those whose last event
	// was older than lateTimeout + 5 s.
	resumed, resumedLate int
	// refused counts the tries to continue a stream that were refused, by code.
	refused map[result.Code]int
	// faults describes streams that are wrong.
	faults []string
}

func (t lateTotal) String() string {
	var refused []string
	for _, code := range slices.Sorted(maps.Keys(t.refused)) {
		refused = append(refused, fmt.Sprintf("%d: %d", code, t.refused[code]))
	}
	return fmt.Sprintf("%d whole, %d refused for good, %d given up; tries to go on: %d resumed, %d of them late; refused %v; %d faults",
		t.whole, t.ended, t.givenUp, t.resumed, t.resumedLate, refused, len(t.faults))
}

func newLateCallers(l *lateSoak, seed uint64) *lateCallers {
	callers := &lateCallers{soak: l, stopped: make(chan struct{}), total: lateTotal{refused: make(map[result.Code]int)}}
	for index := range lateClients {
		random := rand.New(rand.NewPCG(seed, uint64(1000+index)))
		client := &http.Client{Transport: &http.Transport{ResponseHeaderTimeout: time.Second}}
		callers.running.Go(func() {
			defer client.CloseIdleConnections()
			for number := 0; !callers.isStopped(); number++ {
				stream := &lateStream{
					callers: callers, http: client, random: random, program: fmt.Sprintf("c%d-%d", index, number),
					hasBudget: random.IntN(2) == 0, isLate: random.IntN(2) == 0, isStubborn: random.IntN(2) == 0,
				}
				stream.live()
			}
		})
	}
	return callers
}

func (c *lateCallers) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

// stop lets clients that are absent come back at once, and waits until all have their streams
// or gave up.
func (c *lateCallers) stop() lateTotal {
	close(c.stopped)
	c.running.Wait()
	return c.total
}

func (c *lateCallers) count(change func(*lateTotal)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change(&c.total)
}

// lateStream is one stream of a client, over all its tries.
type lateStream struct {
	callers *lateCallers
	http    *http.Client
	random  *rand.Rand
	program string
	// isLate is set if the client comes back after a while, else it does so at once, and
	// isStubborn if it comes back also after a refusal for good.
	hasBudget, isLate, isStubborn bool

	lateProgress
	tries []*lateTry
	// isLastVisit is set once it is tried after the faults.
	isLastVisit bool
	// wrong is what is wrong with it.
	wrong []string
}

// lateTry is one request.
type lateTry struct {
	id, gateway string
	sent        time.Time
	// numbers are those of the events received.
	numbers []int
	// version is that of the events, with others after it if there are any.
	version string
	outcome string
}

// live tries until the client has the whole stream or gives up.
func (s *lateStream) live() {
	defer s.report()
	outcome := s.visit()
	for absences := 0; absences < lateAbsences && s.goesOn(outcome); absences++ {
		s.stayAway()
		outcome = s.visit()
	}
	if s.callers.isStopped() && s.goesOn(outcome) {
		outcome = s.visit()
	}
	s.callers.count(func(total *lateTotal) {
		switch outcome {
		case soakWhole:
			total.whole++
		case soakRejected:
			total.ended++
		case soakBroken:
			total.givenUp++
		}
	})
	if outcome == soakBroken && s.hasBegun() {
		s.checkGivenUp()
	}
}

// goesOn reports whether the client comes back after the outcome of a visit.
func (s *lateStream) goesOn(outcome soakOutcome) bool {
	return s.hasBegun() && !s.isLastVisit && (outcome == soakBroken || outcome == soakRejected && s.isStubborn)
}

// stayAway waits, until the faults are over at the latest.
func (s *lateStream) stayAway() {
	if s.isLate {
		awaitStop(s.callers.stopped, randomUpTo(s.random, *lateSoakAbsence))
	}
}

// visit tries until the client has the stream, was told that it can't go on, or goes away.
func (s *lateStream) visit() (outcome soakOutcome) {
	s.isLastVisit = s.callers.isStopped()
	patience := latePatience
	if s.isLastVisit {
		patience = lateLastPatience
	}
	outcome = soakBroken
	for deadline := time.Now().Add(patience); outcome == soakBroken && time.Now().Before(deadline); {
		before := s.last
		outcome = s.try()
		if s.isLate && !s.isLastVisit && s.last > before {
			return outcome
		}
		time.Sleep(soakRetryPause)
	}
	return outcome
}

// try sends one request at a random gateway and reads its events.
func (s *lateStream) try() soakOutcome {
	address := s.callers.soak.anyAddress(s.random)
	if address == "" {
		return soakBroken
	}
	try := &lateTry{id: fmt.Sprintf("%s-%d", s.program, len(s.tries)+1), gateway: address, sent: time.Now()}
	s.tries = append(s.tries, try)
	ctx, cancel := context.WithTimeout(context.Background(), lateTimeout+5*time.Second)
	defer cancel()
	response, err := s.http.Do(s.request(ctx, try))
	if err != nil {
		try.outcome = "no answer"
		return soakBroken
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return s.refused(try, response)
	}
	s.countResumption()
	return s.readEvents(try, response)
}

func (s *lateStream) request(ctx context.Context, try *lateTry) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+try.gateway+"/streams/x", strings.NewReader("body"))
	if err != nil {
		panic(err)
	}
	request.Host = "desk.example"
	for name, value := range map[string]string{
		runner.HeaderID: try.id, "X-Program-Id": s.program, "X-Deadline-Ms": strconv.FormatInt(lateTimeout.Milliseconds(), 10),
	} {
		request.Header.Set(name, value)
	}
	if s.hasBudget {
		request.Header.Set("X-Token-Budget", "100000")
		request.Header.Set("X-Token-Usage", "10,1000")
	}
	if s.hasBegun() {
		request.Header.Set(runner.HeaderLastEvent, strconv.Itoa(s.last))
		request.Header.Set("Resumes", s.began)
	}
	return request
}

func (s *lateStream) countResumption() {
	if !s.hasBegun() {
		return
	}
	s.callers.count(func(total *lateTotal) {
		total.resumed++
		if time.Since(s.received) > lateTimeout+5*time.Second {
			total.resumedLate++
		}
	})
}

// refused returns what an answer other than 200 means.
func (s *lateStream) refused(try *lateTry, response *http.Response) soakOutcome {
	var body struct{ Error struct{ Code result.Code } }
	err := json.NewDecoder(response.Body).Decode(&body)
	code := body.Error.Code
	try.outcome = fmt.Sprintf("status %d, code %d", response.StatusCode, code)
	if err != nil || !s.hasBegun() {
		return soakBroken
	}
	s.callers.count(func(total *lateTotal) { total.refused[code]++ })
	switch code {
	case result.StreamVersionGone:
		s.checkGone(try)
		return soakRejected
	case result.StreamOriginUnknown:
		s.checkUnknown(try)
		return soakRejected
	case result.RequestQuarantined:
		return soakRejected
	default:
		return soakBroken
	}
}
