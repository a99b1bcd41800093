package integration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/protocol/objectapi"
	"github.com/marblering/marblering/test/harness"
	"github.com/marblering/marblering/test/integration/partition"
)

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func encode(t *testing.T, value any) json.RawMessage {
	t.Helper()
	encoded, err := json.Marshal(value)
	assert.NilError(t, err)
	return encoded
}

func (s *system) objects() *objectapi.Client {
	return objectapi.NewClient("http://"+s.platform, http.DefaultClient)
}

// put creates an object at the platform.
func (s *system) put(t *testing.T, kind configuration.Kind, name string, body any) {
	t.Helper()
	_, err := s.objects().Put(t.Context(), string(kind), name, objectapi.IfAbsent(), encode(t, body))
	assert.NilError(t, err)
}

// replace writes a new version of an object at the platform.
func (s *system) replace(t *testing.T, kind configuration.Kind, name string, body any) {
	t.Helper()
	current, err := s.objects().Get(t.Context(), string(kind), name)
	assert.NilError(t, err)
	_, err = s.objects().Put(t.Context(), string(kind), name, objectapi.IfVersion(current.Version), encode(t, body))
	assert.NilError(t, err)
}

// configurationAt returns the version of the configuration in force at a node.
func (s *system) configurationAt(t *testing.T, node int) uint64 {
	t.Helper()
	text := s.cell(t, node, "configuration", "nodes where name = "+s.nodes[node].name)
	version, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return version
}

// cutOff cuts the node off from its peers and the platform, in both directions.
func (s *system) cutOff(t *testing.T, node int) {
	t.Helper()
	s.nodes[node].platform.SetFault(harness.Fault{Mode: harness.Cut})
	for index, peer := range s.nodes {
		if index == node {
			assert.NilError(t, peer.links.Set(partition.Fault{Kind: partition.Cut}))
			continue
		}
		assert.NilError(t, peer.links.SetFor(s.nodes[node].name, partition.Fault{Kind: partition.Cut}))
	}
}

// healPeers ends what cutOff began between the nodes; the platform stays out of
// the node's reach.
func (s *system) healPeers(t *testing.T) {
	t.Helper()
	for _, peer := range s.nodes {
		assert.NilError(t, peer.links.Heal())
	}
}

// putMachine sets the state of a machine in the platform's list.
func (s *system) putMachine(t *testing.T, name, state string) {
	t.Helper()
	body := strings.NewReader(string(encode(t, objectapi.Machine{Name: name, State: state})))
	made, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+s.platform+"/machines/"+name, body)
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(made)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode/100, 2)
}
