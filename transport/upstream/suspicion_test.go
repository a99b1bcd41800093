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

// slowBackend answers with a first piece, and with the rest once it is released.
type slowBackend struct {
	*httptest.Server
	release chan struct{}
}

func newSlowBackend(t *testing.T) *slowBackend {
	t.Helper()
	b := &slowBackend{release: make(chan struct{})}
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

// newSuspiciousClient has a client that soon looks for a silent back end's machine
// and is told whether that can be reached, while other back ends are heard of or not.
func newSuspiciousClient(hearsOthers bool, reaches func() bool) *Client {
	settings := DefaultSettings()
	settings.IDHeader = "X-Id"
	settings.Suspicion = 20 * time.Millisecond
	client := NewClient(settings, time.Now)
	client.hosts.dial = func(string) bool {
		if hearsOthers {
			client.lastReceived.Store(time.Now().UnixNano())
		}
		return reaches()
	}
	return client
}

func (b *slowBackend) request(repeatable bool) *Request {
	return &Request{
		Address: strings.TrimPrefix(b.URL, "http://"), Instance: "i", Method: http.MethodGet, Target: "/", Host: "h",
		Header: http.Header{"X-Id": {"1"}}, ID: "1", Repeatable: repeatable,
	}
}

// TestDarkBackendIsGivenUp in the middle of an answer, long before the deadline.
func TestDarkBackendIsGivenUp(t *testing.T) {
	backend := newSlowBackend(t)
	client := newSuspiciousClient(true, func() bool { return false })
	answer, err := client.Do(t.Context(), backend.request(true))
	assert.NilError(t, err)
	_, err = io.ReadAll(answer)
	assert.Assert(t, errors.Is(err, ErrUnreachable), "%v", err)
	answer.CloseBody()
}

// TestSlowBackendIsWaitedFor as long as its machine answers.
func TestSlowBackendIsWaitedFor(t *testing.T) {
	backend := newSlowBackend(t)
	var looks atomic.Int64
	client := newSuspiciousClient(true, func() bool {
		if looks.Add(1) == 1 {
			close(backend.release)
		}
		return true
	})
	answer, err := client.Do(t.Context(), backend.request(true))
	assert.NilError(t, err)
	body, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "first rest")
	assert.Equal(t, looks.Load(), int64(1))
}

// TestSilenceOfAllIsNoProof: this node's own link may be at fault.
func TestSilenceOfAllIsNoProof(t *testing.T) {
	backend := newSlowBackend(t)
	var looks atomic.Int64
	client := newSuspiciousClient(false, func() bool {
		if looks.Add(1) == 3 {
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

// TestUnrepeatableRequestWaits: it may have run, and its caller can't ask again.
func TestUnrepeatableRequestWaits(t *testing.T) {
	backend := newSlowBackend(t)
	client := newSuspiciousClient(true, func() bool { t.Error("looked for"); return false })
	answer, err := client.Do(t.Context(), backend.request(false))
	assert.NilError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { close(backend.release) })
	body, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "first rest")
}

// TestRequestsLookTogether: those that wait at one back end look for it once, and
// not again for a while after it was found.
func TestRequestsLookTogether(t *testing.T) {
	now := time.Unix(1000, 0)
	var looks atomic.Int64
	r := newReachability(DefaultSettings(), func() time.Time { return now })
	r.dial = func(string) bool {
		looks.Add(1)
		time.Sleep(10 * time.Millisecond)
		return true
	}
	to := endpoint{address: "10.0.0.1:1", instance: "i"}
	var asking sync.WaitGroup
	for range 8 {
		asking.Go(func() { assert.Check(t, r.find(to)) })
	}
	asking.Wait()
	assert.Equal(t, looks.Load(), int64(1))
	now = now.Add(knownReachable)
	assert.Assert(t, r.find(to))
	assert.Equal(t, looks.Load(), int64(2))
}

// TestRefusalIsASignOfLife: a port where nobody listens is on a machine that runs.
func TestRefusalIsASignOfLife(t *testing.T) {
	backend := newSlowBackend(t)
	address := strings.TrimPrefix(backend.URL, "http://")
	assert.Assert(t, answersDial(address, time.Second))
	backend.Close()
	assert.Assert(t, answersDial(address, time.Second))
}
