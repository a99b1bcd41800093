package objectapi_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/protocol/objectapi"
)

// TestCutListIsNotTakenForWhole guards against objects that count as removed since the answer
// with the list ended early. The answer has no length and ends with its connection.
func TestCutListIsNotTakenForWhole(t *testing.T) {
	const whole = `{"revision":7,"items":[{"kind":"model","name":"a","version":3,"body":{}},{"kind":"model","name":"b","version":4,"body":{}}]}`
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		connection, buffered, err := w.(http.Hijacker).Hijack()
		if !assert.Check(t, err) {
			return
		}
		defer connection.Close()
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + whole[:sent])
		_ = buffered.Flush()
	}))
	t.Cleanup(server.Close)
	client := objectapi.NewClient(server.URL, server.Client())
	for sent = range len(whole) {
		list, err := client.List(t.Context(), "model")
		assert.Assert(t, err != nil, "%d of %d bytes: %v", sent, len(whole), list)
	}
	sent = len(whole)
	list, err := client.List(t.Context(), "model")
	assert.NilError(t, err)
	assert.Equal(t, len(list.Items), 2)
}
