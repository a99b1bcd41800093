package upstream

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stallingBackend sends the first part of a response and the rest once release is closed.
type stallingBackend struct {
	*httptest.Server
	release chan struct{}
}

func newStallingBackend(t *testing.T) *stallingBackend {
	t.Helper()
	b := &stallingBackend{release: make(chan struct{})}
	b.Server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		_, _ = io.WriteString(writer, "first ")
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-b.release:
			_, _ = io.WriteString(writer, "rest")
		case <-request.Context().Done():
		}
	}))
	t.Cleanup(b.Close)
	return b
}

// newTestClient returns a client with a short StallTimeout. The given function takes the
// place of the host probe. If othersRespond is set, bytes from another backend arrive
// during each probe.
func newTestClient(othersRespond bool, probeHost func() bool) *Client {
	settings := DefaultSettings()
	settings.IDHeader = "X-Id"
	settings.StallTimeout = 20 * time.Millisecond
	client := NewClient(settings, time.Now)
	client.hosts.probeHost = func(string) bool {
		if othersRespond {
			client.lastReceived.Store(time.Now().UnixNano())
		}
		return probeHost()
	}
	return client
}

func (b *stallingBackend) request(repeatable bool) *Request {
	return &Request{
		Address: strings.TrimPrefix(b.URL, "http://"), Instance: "i", Method: http.MethodGet, Target: "/", Host: "h",
		Header: http.Header{"X-Id": {"1"}}, ID: "1", Repeatable: repeatable,
	}
}

// TestUnreachableBackendAbortsExchange checks that an exchange fails without waiting for
// its deadline if the host becomes unreachable in the middle of a response.
func TestUnreachableBackendAbortsExchange(t *testing.T) {
	backend := newStallingBackend(t)
	client := newTestClient(true, func() bool { return false })
	answer, err := client.Do(t.Context(), backend.request(true))
	assert.NilError(t, err)
	_, err = io.ReadAll(answer)
	assert.Assert(t, errors.Is(err, ErrUnreachable), "%v", err)
	answer.CloseBody()
}

// TestReachableBackendIsAwaited checks that a slow response isn't aborted while the host
// responds to probes.
func TestReachableBackendIsAwaited(t *testing.T) {
	backend := newStallingBackend(t)
	var probes atomic.Int64
	client := newTestClient(true, func() bool {
		if probes.Add(1) == 1 {
			close(backend.release)
		}
		return true
	})
	answer, err := client.Do(t.Context(), backend.request(true))
	assert.NilError(t, err)
	body, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "first rest")
	assert.Equal(t, probes.Load(), int64(1))
}

// TestStallOfAllBackendsIsAwaited checks that nothing is aborted while no backend sends
// anything, because this node's own link may have failed.
func TestStallOfAllBackendsIsAwaited(t *testing.T) {
	backend := newStallingBackend(t)
	var probes atomic.Int64
	client := newTestClient(false, func() bool {
		if probes.Add(1) == 3 {
			close(backend.release)
		}
		return false
	})
	answer, err := client.Do(t.Context(), backend.request(true))
	assert.NilError(t, err)
	body, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "first rest")
}

// TestNonRepeatableRequestIsNotProbed guards against aborting a request that may have been
// executed and can't be retried.
func TestNonRepeatableRequestIsNotProbed(t *testing.T) {
	backend := newStallingBackend(t)
	client := newTestClient(true, func() bool { t.Error("the host of a non-repeatable request was probed"); return false })
	answer, err := client.Do(t.Context(), backend.request(false))
	assert.NilError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { close(backend.release) })
	body, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "first rest")
}

// TestConcurrentRequestsShareProbe checks that requests to one backend share a probe, and
// that a successful one is reused for probeLifetime.
func TestConcurrentRequestsShareProbe(t *testing.T) {
	now := time.Unix(1000, 0)
	var probes atomic.Int64
	r := newHostProber(DefaultSettings(), func() time.Time { return now })
	r.probeHost = func(string) bool {
		probes.Add(1)
		time.Sleep(10 * time.Millisecond)
		return true
	}
	to := endpoint{address: "10.0.0.1:1", instance: "i"}
	var requests sync.WaitGroup
	for range 8 {
		requests.Go(func() { assert.Check(t, r.isReachable(to)) })
	}
	requests.Wait()
	assert.Equal(t, probes.Load(), int64(1))
	now = now.Add(probeLifetime)
	assert.Assert(t, r.isReachable(to))
	assert.Equal(t, probes.Load(), int64(2))
}

// TestRefusedConnectionMeansReachable checks that a closed port counts as a response of
// the host.
func TestRefusedConnectionMeansReachable(t *testing.T) {
	backend := newStallingBackend(t)
	address := strings.TrimPrefix(backend.URL, "http://")
	assert.Assert(t, isHostReachable(address, time.Second))
	backend.Close()
	assert.Assert(t, isHostReachable(address, time.Second))
}
