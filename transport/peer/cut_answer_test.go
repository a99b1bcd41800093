package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/transport/peer"
)

// TestCutAnswerOfHolderIsNotTakenForWhole guards against a list of objects that counts as whole
// although the holder ended within its answer: some of its prefixes are valid messages.
func TestCutAnswerOfHolderIsNotTakenForWhole(t *testing.T) {
	message := &peerv1.WatchMirrorResponse{
		Verdict: peerv1.WatchMirrorResponse_VERDICT_CURRENT, At: 7, Whole: true,
		Changed: []*peerv1.MirroredObject{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}, {Name: "c", Revision: 5}},
	}
	raw, err := proto.Marshal(message)
	assert.NilError(t, err)
	type connectionKey struct{}
	for name, cut := range map[string]func(*http.Request){
		"aborted": func(*http.Request) { panic(http.ErrAbortHandler) },
		"closed":  func(request *http.Request) { _ = request.Context().Value(connectionKey{}).(net.Conn).Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent := 0
			server := httptest.NewUnstartedServer(nil)
			server.Config = peer.NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				w.Header().Set("Content-Type", "application/proto")
				_, _ = w.Write(raw[:sent])
				if sent < len(raw) {
					assert.Check(t, http.NewResponseController(w).Flush())
					cut(request)
				}
			}))
			server.Config.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
				return context.WithValue(ctx, connectionKey{}, connection)
			}
			server.Start()
			t.Cleanup(server.Close)
			client := newPeerClient(t)
			for sent = 0; sent <= len(raw); sent++ {
				answer, err := client.WatchMirror(t.Context(), server.Listener.Addr().(*net.TCPAddr).AddrPort(), "kind", 0, time.Second)
				if sent < len(raw) {
					assert.Assert(t, err != nil, "%d of %d bytes: %v", sent, len(raw), answer)
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, len(answer.(mirror.Changed).Changes.Events), len(message.GetChanged()))
			}
		})
	}
}
