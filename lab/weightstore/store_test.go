package weightstore_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/weightstore"
)

const size = 200_000

// fetch returns the status and the bytes that could be read.
func fetch(t *testing.T, address, path string) (int, []byte, error) {
	t.Helper()
	response, err := http.Get(address + path)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

func TestWeightsDependOnNameAndVersion(t *testing.T) {
	listener := httptest.NewServer(weightstore.New(weightstore.Options{Size: size, Rate: 100e6}))
	defer listener.Close()
	status, first, err := fetch(t, listener.URL, "/weights/m/1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(first), size)
	_, again, err := fetch(t, listener.URL, "/weights/m/1")
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(first, again))
	_, other, err := fetch(t, listener.URL, "/weights/m/2")
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Equal(first, other))
}

func TestFaults(t *testing.T) {
	for _, test := range []struct {
		faults string
		status int
		whole  bool
	}{
		{`{"unavailable":true}`, http.StatusServiceUnavailable, true},
		{`{"missing":"m"}`, http.StatusNotFound, true},
		{`{"missing":"other"}`, http.StatusOK, true},
		{`{"drop_after_bytes":1000}`, http.StatusOK, false},
	} {
		listener := httptest.NewServer(weightstore.New(weightstore.Options{Size: size}))
		response, err := http.Post(listener.URL+"/control/faults", "application/json", strings.NewReader(test.faults))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
		status, _, err := fetch(t, listener.URL, "/weights/m/1")
		assert.Equal(t, status, test.status)
		assert.Equal(t, err == nil, test.whole)
		listener.Close()
	}
}
