package integration

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/protocol/objectapi"
)

const (
	apiKey     = "test-key"
	otherKey   = "other-key"
	modelName  = "model"
	engineSeed = 7
)

// system is a deployment of separate processes.
type system struct {
	platform string
	engines  []string
	nodes    []*serving
}

type serving struct {
	*process
	callers   string
	peers     string
	operators string
}

// newSystem starts an object API, engines and one node in each zone.
func newSystem(t *testing.T, zones, engines int) *system {
	t.Helper()
	s := &system{}
	store := start(t, "objectstore", "marblering-lab", "objectstore")
	s.platform = "http://" + store.await(t, "address")
	for index := range engines {
		stand := start(t, fmt.Sprintf("engine-%d", index+1), "marblering-lab", "engine",
			"--name", fmt.Sprintf("engine-%d", index+1), "--models", modelName,
			"--seed", fmt.Sprint(engineSeed), "--time-scale", "50")
		s.engines = append(s.engines, "http://"+stand.await(t, "address"))
	}
	s.configure(t, zones)
	for index := range zones {
		s.startNode(t, index)
	}
	for _, node := range s.nodes {
		eventually(t, func() bool { return status(node.operators+"/readyz") == http.StatusOK }, "a node is not ready")
	}
	return s
}

func (s *system) startNode(t *testing.T, index int) {
	t.Helper()
	name := fmt.Sprintf("node-%d", index+1)
	arguments := []string{
		"serve", "--name", name, "--zone", zoneName(index), "--object-api", s.platform, "--shards", "4",
		"--peer-listen", "127.0.0.1:0", "--caller-listen", "127.0.0.1:0", "--operator-listen", "127.0.0.1:0",
	}
	for _, node := range s.nodes {
		arguments = append(arguments, "--seeds", node.peers)
	}
	started := start(t, name, "marblering", arguments...)
	s.nodes = append(s.nodes, &serving{
		process:   started,
		peers:     started.await(t, "peer_address"),
		callers:   "http://" + started.await(t, "caller_address"),
		operators: "http://" + started.await(t, "operator_address"),
	})
}

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index+1) }

func (s *system) configure(t *testing.T, zones int) {
	t.Helper()
	var names []string
	for index := range zones {
		names = append(names, zoneName(index))
	}
	s.put(t, configuration.KindModel, modelName, configuration.Model{ContextTokens: 100000, DefaultMaxTokens: 64})
	s.put(t, configuration.KindTenant, "tenant", configuration.Tenant{APIKeySHA256: []string{digest(apiKey)}, Weight: 1})
	s.put(t, configuration.KindTenant, "other", configuration.Tenant{APIKeySHA256: []string{digest(otherKey)}, Weight: 1})
	s.put(t, configuration.KindPool, "pool", configuration.Pool{
		Zones: names, Models: []string{modelName}, Roles: []configuration.Role{configuration.RoleMixed},
	})
	for index, address := range s.engines {
		s.put(t, configuration.KindEngine, fmt.Sprintf("engine-%d", index+1), configuration.Engine{
			Address: address, Zone: zoneName(index % zones), Generation: "gen3", Pool: "pool",
			Models: []string{modelName}, Role: configuration.RoleMixed,
		})
	}
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (s *system) put(t *testing.T, kind configuration.Kind, name string, body any) {
	t.Helper()
	encoded, err := json.Marshal(body)
	assert.NilError(t, err)
	client := objectapi.NewClient(s.platform, http.DefaultClient)
	_, err = client.Put(t.Context(), string(kind), name, objectapi.IfAbsent(), encoded)
	assert.NilError(t, err)
}

func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// ledger returns the completions that reached the engine.
func (s *system) ledger(t *testing.T, engine int) []ledger.Entry {
	t.Helper()
	response, err := http.Get(s.engines[engine] + "/ledger")
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

// post sends JSON to a node with the tenant's key.
func post(t *testing.T, url string, body any, headers ...string) *http.Response {
	t.Helper()
	encoded, err := json.Marshal(body)
	assert.NilError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(encoded))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	return response
}

// createProgram creates a program at the node and returns its id.
func (s *system) createProgram(t *testing.T, node int, budget uint64) string {
	t.Helper()
	response := post(t, s.nodes[node].callers+"/v1/programs", map[string]any{"model": modelName, "budget_tokens": budget})
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode/100, 2, "%s", content)
	var created struct{ ID string }
	assert.NilError(t, json.Unmarshal(content, &created))
	return created.ID
}

// stream sends one streamed call and returns the text and whether the stream
// ended as whole.
func (s *system) stream(t *testing.T, node int, id, text string, headers ...string) (content string, whole bool) {
	t.Helper()
	response := post(t, s.nodes[node].callers+"/v1/programs/"+id+"/chat/completions", map[string]any{
		"model": modelName, "stream": true, "messages": []any{userMessage(text)},
	}, headers...)
	defer response.Body.Close()
	var answer strings.Builder
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		data, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		if strings.TrimSpace(data) == "[DONE]" {
			return answer.String(), true
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
		for _, choice := range chunk.Choices {
			answer.WriteString(choice.Delta.Content)
		}
	}
	return answer.String(), false
}

func userMessage(text string) any {
	return struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"user", text}
}
