package integration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/protocol/objectapi"
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
