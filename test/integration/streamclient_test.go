package integration

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/test/harness"
)

const (
	// soakPatience is how long a client tries to get a stream.
	soakPatience = 3 * time.Second
	// soakRetryPause is a client's pause between two tries.
	soakRetryPause = 50 * time.Millisecond
)

// soakClients are clients that read streams all the time, and resume those that break.
type soakClients struct {
	soak    *soakSystem
	stopped chan struct{}
	running sync.WaitGroup

	mutex sync.Mutex
	total soakTotal
}

// soakTotal counts what the clients saw.
type soakTotal struct {
	// whole streams were received completely, given up ones weren't in time.
	whole, givenUp int
	// resumed counts the tries that continued a stream, rejected those that were told
	// that it can't be.
	resumed, rejected int
	// quarantined are the programs of streams that were refused since instances crashed
	// under them.
	quarantined []string
	// faults describes streams that are wrong.
	faults []string
}

func newSoakClients(s *soakSystem, seed uint64) *soakClients {
	clients := &soakClients{soak: s, stopped: make(chan struct{})}
	for index := range soakClientCount {
		random := rand.New(rand.NewPCG(seed, uint64(1000+index)))
		client := &http.Client{Transport: &http.Transport{ResponseHeaderTimeout: time.Second}}
		clients.running.Go(func() {
			defer client.CloseIdleConnections()
			for number := 0; !clients.isStopped(); number++ {
				stream := &soakStream{clients: clients, http: client, random: random, program: fmt.Sprintf("c%d-%d", index, number)}
				stream.read()
			}
		})
	}
	return clients
}

func (c *soakClients) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

func (c *soakClients) awaitFirstStream(t *testing.T) {
	t.Helper()
	harness.Eventually(t, func() (bool, string) {
		return c.count(func(*soakTotal) {}).whole > 0, "no stream is served"
	})
}

func (c *soakClients) stop() soakTotal {
	close(c.stopped)
	c.running.Wait()
	return c.count(func(*soakTotal) {})
}

// count changes the counts and returns them.
func (c *soakClients) count(change func(*soakTotal)) soakTotal {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change(&c.total)
	return c.total
}

// soakStream is one stream of a client, over all its tries.
type soakStream struct {
	clients *soakClients
	http    *http.Client
	random  *rand.Rand
	program string
	// hasNoBudget is set if the program has no token budget.
	hasNoBudget bool
	tries       int
	// began is the id of the try that brought the first event.
	began string

	mutex sync.Mutex
	// pieces are the data of the events received. Only the reader of the stream changes them.
	pieces []string
}

// read tries to get the whole stream.
func (s *soakStream) read() {
	deadline := time.Now().Add(soakPatience)
	for time.Now().Before(deadline) {
		switch s.try(time.Until(deadline)) {
		case soakWhole:
			s.check()
			s.checkWhole()
			s.clients.count(func(total *soakTotal) { total.whole++ })
			return
		case soakRejected:
			s.clients.count(func(total *soakTotal) { total.rejected++ })
			return
		case soakBroken:
			time.Sleep(soakRetryPause)
		}
	}
	s.check()
	s.clients.count(func(total *soakTotal) { total.givenUp++ })
}

// soakOutcome is how a try ended.
type soakOutcome int

const (
	soakWhole soakOutcome = iota
	soakBroken
	// soakRejected tries were told that the stream can't be continued.
	soakRejected
)

// try sends one request at a random gateway and reads its events.
func (s *soakStream) try(remaining time.Duration) soakOutcome {
	address := s.clients.soak.anyAddress(s.random)
	if address == "" {
		return soakBroken
	}
	s.tries++
	id := fmt.Sprintf("%s-%d", s.program, s.tries)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/streams/x", strings.NewReader("body"))
	if err != nil {
		return soakBroken
	}
	request.Host = "desk.example"
	for name, value := range map[string]string{
		runner.HeaderID: id, "X-Program-Id": s.program, "X-Token-Budget": "100000", "X-Token-Usage": "10,1000",
		"X-Deadline-Ms": strconv.FormatInt(max(remaining.Milliseconds(), 1), 10),
	} {
		request.Header.Set(name, value)
	}
	if s.hasNoBudget {
		request.Header.Del("X-Token-Budget")
	}
	isResumption := len(s.pieces) > 0
	if isResumption {
		request.Header.Set(runner.HeaderLastEvent, strconv.Itoa(len(s.pieces)))
		request.Header.Set("Resumes", s.began)
	}
	response, err := s.http.Do(request)
	if err != nil {
		return soakBroken
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return s.refused(response)
	}
	if isResumption {
		s.clients.count(func(total *soakTotal) { total.resumed++ })
	}
	return s.readEvents(id, response)
}

// refused returns what an answer other than 200 means.
func (s *soakStream) refused(response *http.Response) soakOutcome {
	content, _ := bufio.NewReader(response.Body).ReadString('\n')
	if strings.Contains(content, strconv.Quote(result.RequestQuarantined.Info().Name)) {
		s.clients.count(func(total *soakTotal) { total.quarantined = append(total.quarantined, s.program) })
		return soakRejected
	}
	for _, code := range []result.Code{result.StreamVersionGone, result.StreamOriginUnknown} {
		if strings.Contains(content, fmt.Sprintf(`"type":%q`, code.Info().Name)) {
			return soakRejected
		}
	}
	return soakBroken
}

func (s *soakStream) readEvents(id string, response *http.Response) soakOutcome {
	lines := bufio.NewScanner(response.Body)
	piece := ""
	for lines.Scan() {
		if data, isData := strings.CutPrefix(lines.Text(), "data: "); isData {
			piece = data
			continue
		}
		// An empty line ends an event; one that breaks off before doesn't count.
		if lines.Text() != "" {
			continue
		}
		if len(s.pieces) == 0 {
			s.began = id
		}
		s.add(piece)
	}
	if lines.Err() != nil {
		return soakBroken
	}
	return soakWhole
}

func (s *soakStream) add(piece string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pieces = append(s.pieces, piece)
}

// check reports a stream that misses or repeats a piece or joins two versions.
func (s *soakStream) check() {
	if len(s.pieces) == 0 {
		return
	}
	_, mark, _ := strings.Cut(s.pieces[0], " of ")
	for index, piece := range s.pieces {
		if piece != fmt.Sprintf("piece %d of %s", index+1, mark) {
			s.clients.count(func(total *soakTotal) {
				total.faults = append(total.faults, fmt.Sprintf("stream %s: %v", s.began, s.pieces))
			})
			return
		}
	}
}

// checkWhole reports a stream that ended as a whole one does before its last event.
func (s *soakStream) checkWhole() {
	if len(s.pieces) < soakEvents {
		s.clients.count(func(total *soakTotal) {
			total.faults = append(total.faults, fmt.Sprintf("stream %s ended as whole after %d of %d events", s.began, len(s.pieces), soakEvents))
		})
	}
}

// anyAddress returns the address of a gateway that serves, or "".
func (s *soakSystem) anyAddress(random *rand.Rand) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var serving []string
	for _, address := range s.addresses {
		if address != "" {
			serving = append(serving, address)
		}
	}
	if len(serving) == 0 {
		return ""
	}
	return serving[random.IntN(len(serving))]
}
