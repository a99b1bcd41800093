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

// TestUnresponsivePeerLimitsRequestsInFlight guards against requests that pile up at an
// unresponsive peer, or that affect other peers.
func TestUnresponsivePeerLimitsRequestsInFlight(t *testing.T) {
	const requests, limit = 300, 128
	release := make(chan struct{})
	unresponsive := httptest.NewUnstartedServer(nil)
	unresponsive.Config = peer.NewHTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	unresponsive.Start()
	defer unresponsive.Close()
	responsive := httptest.NewUnstartedServer(nil)
	responsive.Config = peer.NewHTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	responsive.Start()
	defer responsive.Close()

	client := peer.NewHTTPClient()
	var refused atomic.Int64
	var calls sync.WaitGroup
	for range requests {
		calls.Go(func() {
			request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, unresponsive.URL, nil)
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
	harness.Eventually(t, func() (bool, string) {
		return refused.Load() == requests-limit, "requests beyond the limit were not refused"
	})
	response, err := client.Get(responsive.URL)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	close(release)
	calls.Wait()
}
