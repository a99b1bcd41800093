package objectstore

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func request(t *testing.T, server *Server, method, path, body string, header ...string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for index := 0; index+1 < len(header); index += 2 {
		r.Header.Set(header[index], header[index+1])
	}
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, r)
	return recorder
}

func TestBadRequestsChangeNothing(t *testing.T) {
	server := New(Options{})
	cases := []struct {
		name   string
		method string
		path   string
		body   string
		header []string
		status int
	}{
		{"no condition", "PUT", "/api/pool/a", "{}", nil, http.StatusPreconditionRequired},
		{"both conditions", "PUT", "/api/pool/a", "{}", []string{"If-Match", "1", "If-None-Match", "*"}, http.StatusPreconditionRequired},
		{"no JSON", "PUT", "/api/pool/a", "{", []string{"If-None-Match", "*"}, http.StatusBadRequest},
		{"bad name", "PUT", "/api/pool/-", "{}", []string{"If-None-Match", "*"}, http.StatusBadRequest},
		{"absent", "PUT", "/api/pool/a", "{}", []string{"If-Match", `"7"`}, http.StatusNotFound},
		{"delete without version", "DELETE", "/api/pool/a", "", nil, http.StatusPreconditionRequired},
		{"watch from nowhere", "GET", "/watch", "", nil, http.StatusBadRequest},
		{"watch from the future", "GET", "/watch?from=9", "", nil, http.StatusGone},
		{"unknown fault", "POST", "/control/faults", `{"dwon":true}`, nil, http.StatusBadRequest},
		{"machine state", "PUT", "/machines/m", `{"state":"odd"}`, nil, http.StatusBadRequest},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			answer := request(t, server, test.method, test.path, test.body, test.header...)
			assert.Equal(t, answer.Code, test.status, answer.Body.String())
			assert.Equal(t, server.Stats().Revision, uint64(0))
		})
	}
}

func TestLogIsBounded(t *testing.T) {
	server := New(Options{LogLimit: 2})
	for _, name := range []string{"a", "b", "c"} {
		answer := request(t, server, "PUT", "/api/pool/"+name, "{}", "If-None-Match", "*")
		assert.Equal(t, answer.Code, http.StatusOK)
	}
	assert.Assert(t, server.store.since(0).gone)
	assert.Equal(t, len(server.store.since(1).events), 2)
	assert.Equal(t, len(server.store.since(3).events), 0)
}

func TestMachinesLag(t *testing.T) {
	now := time.Unix(1000, 0)
	server := New(Options{Now: func() time.Time { return now }})
	names := func() int {
		var list MachineList
		answer := request(t, server, "GET", "/machines", "")
		assert.NilError(t, json.Unmarshal(answer.Body.Bytes(), &list))
		return len(list.Machines)
	}
	request(t, server, "POST", "/control/faults", `{"machines_lag_ms":2000}`)
	request(t, server, "PUT", "/machines/m", `{"address":"127.0.0.1:1","zone":"z","state":"live"}`)
	assert.Equal(t, names(), 0)
	now = now.Add(2 * time.Second)
	assert.Equal(t, names(), 1)
	request(t, server, "DELETE", "/machines/m", "")
	assert.Equal(t, names(), 1)
	now = now.Add(2 * time.Second)
	assert.Equal(t, names(), 0)
}
