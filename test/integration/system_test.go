package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/lab/objectstore"
	"github.com/marblering/marblering/protocol/engineapi"
	"github.com/marblering/marblering/test/harness"
	"github.com/marblering/marblering/test/integration/partition"
)

const (
	apiKey    = "test-key"
	otherKey  = "other-key"
	modelName = "model"
	// firstSeed is the seed of the first engine's answers. Each engine has
	// another, so that a mix of two engines' answers can't pass for either.
	firstSeed = 7
	// maxTokens is the longest answer of a call that names no limit.
	maxTokens = 64
)

// layout describes a deployment. There is one node in each zone.
type layout struct {
	zones   int
	engines int
	// flags are added to every node's arguments.
	flags []string
	// timeScale is how many seconds of an engine pass in one; zero is
	// defaultTimeScale.
	timeScale float64
}

const defaultTimeScale = 50

// system is a deployment of separate processes. Every connection to a node's
// peer address, an engine or the platform passes through a proxy.
type system struct {
	layout
	network  *partition.Network
	store    *harness.Process
	platform string
	engines  []*standIn
	nodes    []*serving
	// created counts the programs, whose keys are made of it.
	created atomic.Int64
}

// standIn is one engine.
type standIn struct {
	*harness.Process
	name string
	// address is the engine itself, for the test's own questions.
	address string
	// requests has the faults of single requests.
	requests *harness.Proxy
	// links has the faults of connections.
	links *partition.Proxy
	// estate is the ledger that a killed engine has left.
	estate []ledger.Entry
}

// serving is one node.
type serving struct {
	*harness.Process
	name      string
	zone      string
	callers   string
	operators string
	links     *partition.Proxy
	platform  *harness.Proxy
}

// newSystem starts an object API, engines and nodes, and waits until every node
// is ready. It ends with the test.
func newSystem(t *testing.T, wanted layout) *system {
	t.Helper()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	if wanted.timeScale == 0 {
		wanted.timeScale = defaultTimeScale
	}
	s := &system{layout: wanted, network: new(partition.Network)}
	t.Cleanup(s.network.Close)
	s.store = harness.Start(t, command("objectstore", "marblering-lab", "objectstore"))
	s.platform = s.store.WaitValue(t, "address")
	for index := range wanted.engines {
		s.startEngine(t, index)
	}
	s.configure(t)
	for index := range wanted.zones {
		s.startNode(t, index)
	}
	for _, node := range s.nodes {
		node.WaitHTTP(t, node.operators+"/readyz")
	}
	return s
}

func command(name, binary string, arguments ...string) harness.Command {
	return harness.Command{Name: name, Path: filepath.Join(binaries, binary), Arguments: arguments}
}

func (s *system) startEngine(t *testing.T, index int) {
	t.Helper()
	name := fmt.Sprintf("engine-%d", index+1)
	process := harness.Start(t, command(name, "marblering-lab", "engine", "--name", name, "--models", modelName,
		"--seed", fmt.Sprint(seedOf(index)), "--time-scale", fmt.Sprint(s.timeScale)))
	address := process.WaitValue(t, "address")
	stand := &standIn{Process: process, name: name, address: "http://" + address, requests: harness.StartProxy(t)}
	stand.requests.SetTarget(address)
	stand.links = s.link(t, stand.requests.Address())
	s.engines = append(s.engines, stand)
}

func seedOf(engine int) uint64 { return firstSeed + uint64(engine) }

func (s *system) link(t *testing.T, target string) *partition.Proxy {
	t.Helper()
	proxy, err := s.network.Proxy()
	assert.NilError(t, err)
	if target != "" {
		proxy.SetTarget(target)
	}
	return proxy
}

// startNode starts the node of a zone, or starts it again.
func (s *system) startNode(t *testing.T, index int) {
	t.Helper()
	node := &serving{name: fmt.Sprintf("node-%d", index+1), zone: zoneName(index)}
	if index < len(s.nodes) {
		node.links, node.platform = s.nodes[index].links, s.nodes[index].platform
	} else {
		node.links, node.platform = s.link(t, ""), harness.StartProxy(t)
		node.platform.SetTarget(s.platform)
		s.nodes = append(s.nodes, node)
	}
	arguments := []string{
		"serve", "--name", node.name, "--zone", node.zone,
		"--object-api", "http://" + node.platform.Address(), "--shards", "4",
		"--peer-listen", "127.0.0.1:0", "--peer-advertise", node.links.Address(),
		"--caller-listen", "127.0.0.1:0", "--operator-listen", "127.0.0.1:0",
	}
	for other, seed := range s.nodes {
		if other != index {
			arguments = append(arguments, "--seeds", seed.links.Address())
		}
	}
	node.Process = harness.Start(t, command(node.name, "marblering", append(arguments, s.flags...)...))
	node.links.SetTarget(node.WaitValue(t, "peer_listen"))
	node.callers = "http://" + node.WaitValue(t, "caller_address")
	node.operators = "http://" + node.WaitValue(t, "operator_address")
	s.nodes[index] = node
}

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index+1) }

func (s *system) configure(t *testing.T) {
	t.Helper()
	var names []string
	for index := range s.zones {
		names = append(names, zoneName(index))
	}
	s.put(t, configuration.KindModel, modelName, configuration.Model{ContextTokens: 100000, DefaultMaxTokens: maxTokens})
	s.put(t, configuration.KindTenant, "tenant", configuration.Tenant{APIKeySHA256: []string{digest(apiKey)}, Weight: 1})
	s.put(t, configuration.KindTenant, "other", configuration.Tenant{APIKeySHA256: []string{digest(otherKey)}, Weight: 1})
	s.put(t, configuration.KindPool, "pool", configuration.Pool{
		Zones: names, Models: []string{modelName}, Roles: []configuration.Role{configuration.RoleMixed},
	})
	for index := range s.engines {
		s.put(t, configuration.KindEngine, s.engines[index].name, s.engineObject(index))
	}
}

func (s *system) engineObject(index int) configuration.Engine {
	return configuration.Engine{
		Address: "http://" + s.engines[index].links.Address(), Zone: zoneName(index % s.zones), Generation: "gen3",
		Pool: "pool", Models: []string{modelName}, Role: configuration.RoleMixed,
	}
}

// setFaults makes the engine do something wrong.
func (e *standIn) setFaults(t *testing.T, faults engine.Faults) {
	t.Helper()
	control(t, e.address+"/control/faults", faults)
}

// setPlatformFaults makes the platform do something wrong.
func (s *system) setPlatformFaults(t *testing.T, faults objectstore.Faults) {
	t.Helper()
	control(t, "http://"+s.platform+"/control/faults", faults)
}

func control(t *testing.T, url string, body any) {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(string(encode(t, body))))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// kill ends the engine, after its ledger was saved. Its connections break first,
// so that nothing can reach it in between.
func (e *standIn) kill(t *testing.T) {
	t.Helper()
	assert.NilError(t, e.links.Set(partition.Fault{Kind: partition.Cut}))
	e.estate = e.ledger(t)
	e.Kill()
}

// ledger returns what reached the engine, in order.
func (e *standIn) ledger(t *testing.T) []ledger.Entry {
	t.Helper()
	if e.HasEnded() {
		return e.estate
	}
	response, err := http.Get(e.address + "/ledger")
	assert.NilError(t, err)
	defer response.Body.Close()
	var entries []ledger.Entry
	for decoder := json.NewDecoder(response.Body); decoder.More(); {
		var entry ledger.Entry
		assert.NilError(t, decoder.Decode(&entry))
		entries = append(entries, entry)
	}
	return entries
}

// holds returns the programs whose context the engine holds.
func (e *standIn) holds(t *testing.T) []string {
	t.Helper()
	held, err := engineapi.NewClient(http.DefaultClient).Holds(t.Context(), e.address)
	assert.NilError(t, err)
	var programs []string
	for _, hold := range held {
		programs = append(programs, hold.Program)
	}
	return programs
}
