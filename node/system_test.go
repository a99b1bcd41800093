package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/node"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

const (
	// patience bounds a wait for a condition, on a busy machine too.
	patience = 60 * time.Second
	look     = 20 * time.Millisecond
	// frozen is a slow factor at which an engine answers nothing in a test's
	// time.
	frozen = 1e6
)

// startSystem starts a deployment of a shard each node and stops it at the end.
func startSystem(t *testing.T, options deployment.Options) *deployment.Deployment {
	t.Helper()
	options.Shards, options.Seed, options.TimeScale = 4, 1, 50
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	options.Zones = max(options.Zones, 1)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	system, err := deployment.Start(ctx, options)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, system.Close()) })
	return system
}

// answer is what a caller was told.
type answer struct {
	status     int
	retryAfter string
	body       []byte
}

func (a answer) refusal(t *testing.T) callerapi.ErrorDetail {
	t.Helper()
	var body callerapi.ErrorBody
	assert.NilError(t, json.Unmarshal(a.body, &body), "%s", a.body)
	return body.Error
}

// send may be called from any goroutine: a request without an answer has the
// status 0.
func send(method, url string, header http.Header, body string) answer {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answer{body: []byte(err.Error())}
	}
	request.Header = header
	if request.Header.Get("Authorization") == "" {
		request.Header.Set("Authorization", "Bearer "+deployment.APIKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{body: []byte(err.Error())}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{body: []byte(err.Error())}
	}
	return answer{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), body: content}
}

func createProgram(t *testing.T, at *node.Node, key string) string {
	t.Helper()
	header := http.Header{}
	if key != "" {
		header.Set(callerapi.HeaderKey, key)
	}
	created := send(http.MethodPost, "http://"+at.CallerAddress()+"/v1/programs", header,
		fmt.Sprintf(`{"model":%q,"budget_tokens":100000}`, deployment.ModelName))
	assert.Equal(t, created.status, http.StatusCreated, "%s", created.body)
	var program callerapi.Program
	assert.NilError(t, json.Unmarshal(created.body, &program))
	return program.ID
}

func call(at *node.Node, id, text string) answer {
	body, err := json.Marshal(text)
	if err != nil {
		return answer{body: []byte(err.Error())}
	}
	return send(http.MethodPost, "http://"+at.CallerAddress()+"/v1/programs/"+id+"/chat/completions", http.Header{},
		`{"messages":[{"role":"user","content":`+string(body)+`}],"max_tokens":16}`)
}

func assertRefused(t *testing.T, got answer, code result.Code) {
	t.Helper()
	assert.Equal(t, got.refusal(t).Code, code, "%s", got.body)
	assert.Equal(t, got.status, code.Info().HTTP)
	if code.Info().Repeat == result.RepeatNewKey {
		assert.Assert(t, got.retryAfter != "" && got.retryAfter != "0", "no Retry-After: %s", got.body)
	}
}

// eventually waits for the condition.
func eventually(t *testing.T, condition func() bool, format string, arguments ...any) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		assert.Assert(t, time.Now().Before(deadline), format, arguments)
		time.Sleep(look)
	}
}

// get returns status and body of a page for operators.
func get(at *node.Node, path string) answer {
	return send(http.MethodGet, "http://"+at.OperatorAddress()+path, http.Header{}, "")
}

// metric sums the values of a counter or gauge over the series that have all
// the labels.
func metric(t *testing.T, at *node.Node, name string, labels map[string]string) float64 {
	t.Helper()
	families, err := at.Metrics().Gather()
	assert.NilError(t, err)
	total := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, series := range family.GetMetric() {
			if hasLabels(series, labels) {
				total += series.GetCounter().GetValue() + series.GetGauge().GetValue()
			}
		}
	}
	return total
}

func hasLabels(series *dto.Metric, labels map[string]string) bool {
	found := 0
	for _, pair := range series.GetLabel() {
		if value, wanted := labels[pair.GetName()]; wanted && value == pair.GetValue() {
			found++
		}
	}
	return found == len(labels)
}

// completions counts the requests that reached the engines, by program.
func completions(system *deployment.Deployment) map[string]int {
	counts := make(map[string]int)
	for _, stand := range system.Engines {
		for _, entry := range stand.Ledger().After(0) {
			if entry.Kind == ledger.Completion {
				id, _, _ := strings.Cut(entry.RequestID, "/")
				counts[id]++
			}
		}
	}
	return counts
}

// slow sets the speed of all engines; 1 is their own.
func slow(system *deployment.Deployment, factor float64) {
	for _, stand := range system.Engines {
		stand.SetFaults(engine.Faults{SlowFactor: factor})
	}
}

// isWhole reports whether a whole answer came.
func isWhole(got answer) bool {
	return got.status == http.StatusOK && bytes.Contains(got.body, []byte(`"finish_reason":`))
}
