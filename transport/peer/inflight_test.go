package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/harness"
	"github.com/marblering/marblering/transport/peer"
)

// TestUnresponsivePeerLimitsRequestsInFlight: beyond a bound they fail at once, and another
// peer is still asked.
func TestUnresponsivePeerLimitsRequestsInFlight(t *testing.T) {
	const asked, bound = 300, 128
	free := make(chan struct{})
	silent := httptest.NewUnstartedServer(nil)
	silent.Config = peer.NewHTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-free }))
	silent.Start()
	defer silent.Close()
	answering := httptest.NewUnstartedServer(nil)
	answering.Config = peer.NewHTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	answering.Start()
	defer answering.Close()

	client := peer.NewHTTPClient()
	var refused atomic.Int64
	var running sync.WaitGroup
	for range asked {
		running.Go(func() {
			request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, silent.URL, nil)
			if err != nil {
				return
			}
			response, err := client.Do(request)
			if err != nil && strings.Contains(err.Error(), "too many requests") {
				refused.Add(1)
				return
			}
			if err == nil {
				_ = response.Body.Close()
			}
		})
	}
	harness.Eventually(t, func() (bool, string) { return refused.Load() == asked-bound, "requests still gather" })
	response, err := client.Get(answering.URL)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	close(free)
	running.Wait()
}
