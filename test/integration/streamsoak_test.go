package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/platformstore"
	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/test/harness"
)

var (
	streamSoakSeeds = flag.Int("streamsoak.seeds", 2, "number of seeds of TestStreamsKeepTheirVersionUnderFaults")
	streamSoakFirst = flag.Uint64("streamsoak.first", 1, "first of these seeds")
	streamSoakTime  = flag.Duration("streamsoak.time", 15*time.Second, "how long faults are injected for each seed")
)

const (
	soakGateways       = 3
	soakStorageNodes   = 3
	soakClientCount    = 20
	soakEvents         = 12
	soakInstances      = 6
	soakEventPause     = 40 * time.Millisecond
	soakMaxConcurrency = 3 // faults at a time
)

// streamSoak is a system of real processes whose instances have several software versions.
type streamSoak struct {
	t      *testing.T
	random *rand.Rand
	store  *platformstore.Server
	url    string

	gateways []*soakGateway
	storage  []*storageMachine

	mutex     sync.Mutex
	instances []*soakInstance
	started   int
	// newest is the number of the newest version.
	newest int
	// addresses are the gateways' addresses for callers; empty while they are down.
	addresses []string
}

type soakGateway struct {
	index   int
	file    string
	process *harness.Process
}

type soakInstance struct {
	*runner.Runner
	version string
}

func newStreamSoak(t *testing.T, seed uint64) *streamSoak {
	t.Helper()
	s := &streamSoak{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), store: platformstore.New(),
		newest: 1, addresses: make([]string, soakGateways),
	}
	server := httptest.NewServer(s.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.url = server.URL
	s.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r", "host": "desk.example", "path_prefix": "/streams/", "kind": "stream", "timeout_ms": 3000,
			"service": "app", "attempts": 2, "resumable": true,
		}},
		"services": []map[string]any{{"name": "app", "engine": map[string]any{"stream_stride": 25}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for index := range soakStorageNodes {
		s.storage = append(s.storage, newStorageMachine(t, index, s.url))
	}
	for index := range soakGateways {
		gateway := &soakGateway{index: index, file: filepath.Join(t.TempDir(), "gateway.yaml")}
		settings := fmt.Sprintf("name: edge-%d\nzone: a\ncaller_listen: 127.0.0.1:0\noperator_listen: 127.0.0.1:0\n"+
			"store_url: %s\napply_limit: 500ms\ndrain_timeout: 4s\n", index, s.url)
		assert.NilError(t, os.WriteFile(gateway.file, []byte(settings), 0o600))
		s.gateways = append(s.gateways, gateway)
		s.startGateway(gateway)
		gateway.process.WaitHTTP(t, "http://"+gateway.process.WaitValue(t, "operator_address")+"/readyz")
	}
	for range soakInstances / 2 {
		s.addInstance("v1")
		s.addInstance("v2")
	}
	s.newest = 2
	t.Cleanup(func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for _, instance := range s.instances {
			instance.Close()
		}
	})
	return s
}

// startGateway starts a gateway and gives its address to the clients, ready or not.
func (s *streamSoak) startGateway(g *soakGateway) {
	s.t.Helper()
	g.process = harness.Start(s.t, harness.Command{
		Name: fmt.Sprint("edge-", g.index), Path: filepath.Join(binaries, "marblering"), Arguments: []string{"gateway", "--settings", g.file},
	})
	s.setAddress(g.index, g.process.WaitValue(s.t, "caller_address"))
}

func (s *streamSoak) setAddress(index int, address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.addresses[index] = address
}

// addInstance starts an instance of the version and adds its entry to the store.
func (s *streamSoak) addInstance(version string) {
	s.t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.started++
	name := fmt.Sprint("i-", s.started)
	started, err := runner.Start(name, soakEvents)
	assert.NilError(s.t, err)
	started.Mark = " of " + version
	started.SetPause(soakEventPause)
	s.instances = append(s.instances, &soakInstance{Runner: started, version: version})
	s.putInstance(started, version, "ready")
}

func (s *streamSoak) putInstance(listed *runner.Runner, version, state string) {
	s.store.Put("servers", listed.Instance, map[string]any{
		"service": "app", "address": listed.Address, "zone": "a", "capacity": 8, "state": state, "version": version,
	})
}

// takeInstance removes a random instance from the list, unless it is the last but one.
func (s *streamSoak) takeInstance() *soakInstance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.instances) <= 2 {
		return nil
	}
	index := s.random.IntN(len(s.instances))
	taken := s.instances[index]
	s.instances = append(s.instances[:index], s.instances[index+1:]...)
	return taken
}

// soakFault is a fault that begins at once, and ends when the returned function is called
// after the duration.
type soakFault struct {
	name     string
	begin    func(s *streamSoak) (end func())
	duration time.Duration
}

func soakFaults() []soakFault {
	return []soakFault{
		{"gateway killed", (*streamSoak).killGateway, 400 * time.Millisecond},
		{"gateway terminated", (*streamSoak).terminateGateway, 300 * time.Millisecond},
		{"gateway paused", (*streamSoak).pauseGateway, 900 * time.Millisecond},
		{"instance crashed", (*streamSoak).crashInstance, 700 * time.Millisecond},
		{"instance replaced by a newer version", (*streamSoak).replaceInstance, 500 * time.Millisecond},
		{"storage node killed", (*streamSoak).killStorage, 500 * time.Millisecond},
		{"store silent", (*streamSoak).silenceStore, time.Second},
	}
}

// inject injects faults one after the other, several at a time, until the time is over.
func (s *streamSoak) inject(span time.Duration) {
	type pending struct {
		at  time.Time
		end func()
	}
	var active []pending
	finish := func(now time.Time) {
		left := active[:0]
		for _, p := range active {
			if now.Before(p.at) {
				left = append(left, p)
				continue
			}
			p.end()
		}
		active = left
	}
	faults := soakFaults()
	for deadline := time.Now().Add(span); time.Now().Before(deadline); {
		finish(time.Now())
		if len(active) < soakMaxConcurrency {
			fault := faults[s.random.IntN(len(faults))]
			if end := fault.begin(s); end != nil {
				s.t.Logf("%s", fault.name)
				active = append(active, pending{time.Now().Add(fault.duration), end})
			}
		}
		time.Sleep(time.Duration(s.random.IntN(400)) * time.Millisecond)
	}
	finish(time.Now().Add(time.Hour))
}

// takeGateway takes a random gateway from the clients, unless it is the only one.
func (s *streamSoak) takeGateway() *soakGateway {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var serving []*soakGateway
	for _, g := range s.gateways {
		if s.addresses[g.index] != "" {
			serving = append(serving, g)
		}
	}
	if len(serving) < 2 {
		return nil
	}
	taken := serving[s.random.IntN(len(serving))]
	s.addresses[taken.index] = ""
	return taken
}

func (s *streamSoak) killGateway() func() {
	g := s.takeGateway()
	if g == nil {
		return nil
	}
	g.process.Kill()
	return func() { s.startGateway(g) }
}

func (s *streamSoak) terminateGateway() func() {
	g := s.takeGateway()
	if g == nil {
		return nil
	}
	g.process.Terminate()
	return func() {
		g.process.Wait(s.t)
		s.startGateway(g)
	}
}

// pauseGateway leaves the clients' open requests hanging.
func (s *streamSoak) pauseGateway() func() {
	g := s.takeGateway()
	if g == nil {
		return nil
	}
	address := g.process.WaitValue(s.t, "caller_address")
	g.process.Pause(s.t)
	return func() {
		g.process.Resume()
		s.setAddress(g.index, address)
	}
}

// crashInstance ends an instance whose entry stays for a while, and starts another one of
// its version.
func (s *streamSoak) crashInstance() func() {
	crashed := s.takeInstance()
	if crashed == nil {
		return nil
	}
	crashed.Close()
	return func() {
		s.store.Remove("servers", crashed.Instance)
		s.addInstance(crashed.version)
	}
}

// replaceInstance starts an instance of the newest version, or of the next one, and drains
// another instance.
func (s *streamSoak) replaceInstance() func() {
	leaving := s.takeInstance()
	if leaving == nil {
		return nil
	}
	if s.random.IntN(4) == 0 {
		s.newest++
	}
	s.addInstance(fmt.Sprint("v", s.newest))
	s.putInstance(leaving.Runner, leaving.version, "draining")
	return func() {
		s.store.Remove("servers", leaving.Instance)
		leaving.Close()
	}
}

// crashUntilResumed crashes instances until a stream was resumed, which the faults before
// may not have caused.
func (s *streamSoak) crashUntilResumed(clients *soakClients) {
	s.t.Helper()
	harness.Eventually(s.t, func() (bool, string) {
		if clients.count(func(*soakTotal) {}).resumed > 0 {
			return true, ""
		}
		if restart := s.crashInstance(); restart != nil {
			restart()
		}
		return false, "no stream was resumed"
	})
}

func (s *streamSoak) killStorage() func() {
	m := s.storage[s.random.IntN(len(s.storage))]
	if m.process.HasEnded() {
		return nil
	}
	m.process.Kill()
	return func() { m.start(s.t) }
}

func (s *streamSoak) silenceStore() func() {
	s.store.SetMode(platformstore.Silent)
	return func() { s.store.SetMode(platformstore.Up) }
}

// TestStreamsKeepTheirVersionUnderFaults guards against a stream whose client holds events
// of two software versions, whatever happens to gateways, instances, storage nodes and the
// store meanwhile. Streams that break are resumed at any gateway.
func TestStreamsKeepTheirVersionUnderFaults(t *testing.T) {
	for index := range *streamSoakSeeds {
		seed := *streamSoakFirst + uint64(index)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newStreamSoak(t, seed)
			clients := newSoakClients(s, seed)
			clients.awaitFirstStream(t)
			s.inject(*streamSoakTime)
			s.crashUntilResumed(clients)
			total := clients.stop()
			t.Logf("%+v", total)
			for _, fault := range total.faults {
				t.Error(fault)
			}
			assert.Assert(t, total.whole > 0)
		})
	}
}
