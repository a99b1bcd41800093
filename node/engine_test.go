package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/protocol/engineapi"
)

// TestStreamThatBreaksBeforeItsEndMark guards against a whole answer that is lost since the
// connection broke between its last chunk and the end mark.
func TestStreamThatBreaksBeforeItsEndMark(t *testing.T) {
	t.Parallel()
	const finished = `{"id":"r1","model":"m","choices":[{"index":0,"delta":{"content":"text"},"finish_reason":"stop"}],` +
		`"usage":{"prompt_tokens":5,"completion_tokens":1,"prompt_tokens_details":{"cached_tokens":4}}}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost {
			_, _ = fmt.Fprintf(w, "data: %s\n\n", finished)
			return
		}
		assert.Check(t, request.URL.Query().Get("from") == "1", "%v", request.URL)
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}))
	t.Cleanup(server.Close)
	tested := engines{
		client: engineapi.NewClient(server.Client()), silence: time.Minute,
		takesWork: func(string) bool { return true }, instruments: newInstruments(prometheus.NewRegistry()),
	}
	answer, err := tested.Complete(t.Context(), server.URL, execution.EngineRequest{RequestID: "r1", Model: "m"}, func(string) error { return nil })
	assert.NilError(t, err)
	assert.DeepEqual(t, answer, execution.EngineAnswer{
		Content: "text", FinishReason: "stop", Usage: execution.Usage{PromptTokens: 5, OutputTokens: 1, CachedTokens: 4},
	})
}
