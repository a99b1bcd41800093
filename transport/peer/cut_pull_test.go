package peer_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/transport/peer"
)

// TestCutPullIsNotTakenForWhole guards against a replica that counts as filled although the stream
// of its source ended early, with an end of the response or with a reset.
func TestCutPullIsNotTakenForWhole(t *testing.T) {
	const stepBytes = 101
	whole := recordPull(t)
	for name, isReset := range map[string]bool{"ended": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent := 0
			server := httptest.NewUnstartedServer(nil)
			server.Config = peer.NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", whole.Header().Get("Content-Type"))
				_, _ = w.Write(whole.Body.Bytes()[:sent])
				if isReset {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}))
			server.Start()
			t.Cleanup(server.Close)
			client := newPeerClient(t)
			pull := func() (items int, err error) {
				_, err = client.Pull(t.Context(), memberAt(server), shard.PullRequest{}, func(shard.PullItem) error {
					items++
					return nil
				})
				return items, err
			}
			tried := 0
			for sent = 0; sent < whole.Body.Len(); sent += stepBytes {
				items, err := pull()
				assert.Assert(t, err != nil, "whole after %d of %d bytes, %d items", sent, whole.Body.Len(), items)
				tried++
			}
			for sent = whole.Body.Len() - stepBytes; sent < whole.Body.Len(); sent++ {
				_, err := pull()
				assert.Assert(t, err != nil, "whole after %d of %d bytes", sent, whole.Body.Len())
				tried++
			}
			sent = whole.Body.Len()
			if items, err := pull(); !isReset {
				assert.NilError(t, err)
				assert.Equal(t, fmt.Sprint(items), fmt.Sprint(cutRegisters+cutTurns))
			}
			t.Logf("%d cuts", tried)
		})
	}
}

const (
	cutRegisters = 20
	cutTurns     = 2
)

// recordPull returns the whole answer to a pull.
func recordPull(t *testing.T) *httptest.ResponseRecorder {
	t.Helper()
	recorded := httptest.NewRecorder()
	served := servePeer(t, &generatedReplica{registers: cutRegisters, turns: cutTurns}, &countingHost{}).Config.Handler
	recorder := httptest.NewUnstartedServer(nil)
	recorder.Config = peer.NewHTTPServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		served.ServeHTTP(recorded, request)
	}))
	recorder.Start()
	defer recorder.Close()
	_, err := newPeerClient(t).Pull(t.Context(), memberAt(recorder), shard.PullRequest{}, func(shard.PullItem) error { return nil })
	assert.Assert(t, err != nil, "the recorder passes nothing on")
	assert.Assert(t, recorded.Body.Len() > 0)
	return recorded
}
