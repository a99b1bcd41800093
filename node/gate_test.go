package node

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/marblering/marblering/protocol/callerapi"
)

// observations are the metrics of the requests that a gate refused.
type observations []callerapi.Observation

func (o *observations) Observe(observation callerapi.Observation) { *o = append(*o, observation) }

// TestRefusalsOfTheGateStayAsTheyAre holds what a caller gets from a gate that
// refuses to testdata/gate.golden; go test ./node -update writes it.
func TestRefusalsOfTheGateStayAsTheyAre(t *testing.T) {
	var page strings.Builder
	for _, test := range []struct {
		name     string
		starting error
		draining bool
		key      string
		body     string
	}{
		{name: "starting", starting: errors.New("no <shard> map")},
		{name: "starting, with a key", starting: errors.New("no <shard> map"), key: "bag-17"},
		{name: "draining", draining: true},
		{name: "draining, with a key", draining: true, key: "bag-17"},
		{name: "too large a body", body: "123456789"},
		{name: "admitted", body: "12345678"},
	} {
		var seen observations
		gate := &callerGate{
			handler:   http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) }),
			ready:     func() error { return test.starting },
			draining:  func() bool { return test.draining },
			bodyLimit: func() int64 { return 8 },
			observer:  &seen,
		}
		request := httptest.NewRequest(http.MethodPost, "/v1/programs", strings.NewReader(test.body))
		if test.key != "" {
			request.Header.Set(callerapi.HeaderKey, test.key)
		}
		recorder := httptest.NewRecorder()
		gate.ServeHTTP(recorder, request)
		fmt.Fprintf(&page, "## %s\n%d\n", test.name, recorder.Code)
		assert.NilError(t, recorder.Result().Header.Write(&page))
		fmt.Fprintf(&page, "\n%q\n", recorder.Body)
		for _, observation := range seen {
			fmt.Fprintf(&page, "observed %s %d\n", observation.Operation, observation.Code)
		}
		page.WriteString("\n")
	}
	golden.Assert(t, strings.ReplaceAll(page.String(), "\r\n", "\n"), "gate.golden")
}
