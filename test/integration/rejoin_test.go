package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/harness"
)

const (
	rejoinStreams = 30
	rejoinEvents  = 25
	rejoinPause   = 30 * time.Millisecond
	// rejoinTimeout is the time allowed for a request.
	rejoinTimeout = time.Second
	// rejoinPatience is how long clients try to get the rest of their streams. It exceeds the
	// time after which a gateway once took the only version it knew for that of any stream.
	rejoinPatience = rejoinTimeout + 7*time.Second
	// rejoinRetryPause is a client's pause between two tries.
	rejoinRetryPause = 200 * time.Millisecond
)

// rejoinCase says what happens to the instances while all gateways are down.
type rejoinCase struct {
	name string
	// before and after are the versions in service before and after that.
	before, after []string
	hasBudget     bool
	// tellsStart is set if the entries tell when the processes started.
	tellsStart bool
	// comeBackAfter is how long after the gateways' start the clients come back.
	comeBackAfter time.Duration
	// goOn is set if all streams have to go on whose version is still there.
	goOn bool
}

// TestStreamIsNotJoinedOnceItsVersionHasLeft guards against a stream of two software
// versions whose client comes back late or again and again, after all gateways were killed
// at once, and against losing streams whose version still serves.
func TestStreamIsNotJoinedOnceItsVersionHasLeft(t *testing.T) {
	t.Parallel()
	for _, c := range []rejoinCase{
		{name: "only version leaves", before: []string{"v1"}, after: []string{"v2"}},
		{name: "only version leaves, with budgets", before: []string{"v1"}, after: []string{"v2"}, hasBudget: true},
		{name: "one of two leaves", before: []string{"v1", "v2"}, after: []string{"v2"}, goOn: true},
		{name: "both stay", before: []string{"v1", "v2"}, after: []string{"v1", "v2"}, hasBudget: true, comeBackAfter: rejoinPatience, goOn: true},
		{name: "only version stays", before: []string{"v1"}, after: []string{"v1"}, goOn: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRejoin(t, c)
			r.beginStreams()
			r.killAllGateways()
			r.replaceInstances()
			r.startAllGateways()
			time.Sleep(c.comeBackAfter)
			r.check(r.takeUp())
		})
	}
}

// rejoin is a system whose clients have broken streams.
type rejoin struct {
	*soakSystem
	rejoinCase
	streams []*soakStream
	reading sync.WaitGroup
}

func newRejoin(t *testing.T, c rejoinCase) *rejoin {
	t.Helper()
	r := &rejoin{rejoinCase: c, soakSystem: newSoakSystem(t, 1, soakLayout{
		gateways: soakGateways, storageNodes: soakStorageNodes, drainTimeout: 4 * time.Second,
		configuration: map[string]any{
			"version": 1,
			"routes": []map[string]any{{
				"name": "r", "host": "desk.example", "path_prefix": "/streams/", "kind": "stream", "timeout_ms": rejoinTimeout.Milliseconds(),
				"service": "app", "attempts": 1, "resumable": true,
			}},
			"services": []map[string]any{{"name": "app", "engine": map[string]any{"stream_stride": 25}}},
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		},
	})}
	clients := &soakClients{soak: r.soakSystem, stopped: make(chan struct{})}
	for index := range rejoinStreams {
		r.streams = append(r.streams, &soakStream{
			clients: clients, http: &http.Client{}, random: rand.New(rand.NewPCG(1, uint64(index))),
			program: fmt.Sprint("program-", index), hasNoBudget: !c.hasBudget,
		})
	}
	for _, version := range c.before {
		r.addInstances(version)
	}
	r.awaitStorage(clients)
	return r
}

// awaitStorage waits until the replica sets of all shards serve.
func (s *soakSystem) awaitStorage(clients *soakClients) {
	s.t.Helper()
	const programs = 8 // enough for every shard to keep some of them
	for number := range programs {
		first := &soakStream{clients: clients, http: &http.Client{}, random: s.random, program: fmt.Sprint("before-", number)}
		harness.Eventually(s.t, func() (bool, string) {
			return first.try(rejoinTimeout) == soakWhole, "no stream with a budget is served"
		})
	}
}

func (r *rejoin) addInstances(version string) {
	for range 2 {
		r.addInstanceOf(soakService{name: "app", version: version, events: rejoinEvents, pause: rejoinPause, tellsStart: r.tellsStart})
	}
}

// beginStreams returns once all clients have events. None has the whole stream.
func (r *rejoin) beginStreams() {
	r.t.Helper()
	for _, stream := range r.streams {
		r.reading.Go(func() {
			for stream.count() == 0 {
				stream.try(rejoinTimeout)
			}
		})
	}
	harness.Eventually(r.t, func() (bool, string) {
		begun := 0
		for _, stream := range r.streams {
			if stream.count() > 0 {
				begun++
			}
		}
		return begun == len(r.streams), fmt.Sprintf("%d streams have begun", begun)
	})
}

func (r *rejoin) killAllGateways() {
	var killing sync.WaitGroup
	for _, g := range r.gateways {
		r.setAddress(g.index, "")
		killing.Go(g.process.Kill)
	}
	killing.Wait()
	r.reading.Wait()
}

// replaceInstances ends those of versions that leave and starts those of new ones.
func (r *rejoin) replaceInstances() {
	for _, version := range r.after {
		if !slices.Contains(r.before, version) {
			r.addInstances(version)
		}
	}
	for _, instance := range r.instances {
		if !slices.Contains(r.after, instance.version) {
			r.store.Remove("servers", instance.Instance)
			instance.Close()
		}
	}
}

func (r *rejoin) startAllGateways() {
	r.t.Helper()
	for _, g := range r.gateways {
		r.startGateway(g)
	}
	for _, g := range r.gateways {
		g.process.WaitHTTP(r.t, "http://"+g.process.WaitValue(r.t, "operator_address")+"/readyz")
	}
}

// takeUp lets all clients try until they have the whole stream, and returns how many got
// the rest of a stream of each version.
func (r *rejoin) takeUp() map[string]int {
	whole := make(map[string]int)
	var mutex sync.Mutex
	for _, stream := range r.streams {
		r.reading.Go(func() {
			for deadline := time.Now().Add(rejoinPatience); time.Now().Before(deadline); time.Sleep(rejoinRetryPause) {
				if stream.try(rejoinTimeout) == soakWhole {
					mutex.Lock()
					whole[stream.version()]++
					mutex.Unlock()
					return
				}
			}
		})
	}
	r.reading.Wait()
	return whole
}

// check checks that no stream has events of two versions, and that those went on which could.
func (r *rejoin) check(whole map[string]int) {
	r.t.Helper()
	expected := make(map[string]int)
	for _, stream := range r.streams {
		stream.check()
		if slices.Contains(r.after, stream.version()) {
			expected[stream.version()]++
		}
	}
	joined := r.streams[0].clients.count(func(*soakTotal) {}).faults
	r.t.Logf("whole: %v of %v, wrong: %d", whole, expected, len(joined))
	assert.Equal(r.t, len(joined), 0, "%v", joined)
	if r.goOn {
		assert.DeepEqual(r.t, whole, expected)
	}
}

// count returns the number of events that the client has.
func (s *soakStream) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.pieces)
}

// version returns the version that brought the first event.
func (s *soakStream) version() string {
	_, version, _ := strings.Cut(s.pieces[0], " of ")
	return version
}
