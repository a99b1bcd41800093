package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/protocol/objectapi"
)

// TestWatchLogsChangesOfState lets the platform fail several times, serve, and
// fail again.
func TestWatchLogsChangesOfState(t *testing.T) {
	const failures = 4
	var lists atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	platform := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/watch") {
			// One bookmark, then the end of the stream.
			_, _ = writer.Write([]byte(`{"revision":1}` + "\n"))
			return
		}
		switch count := lists.Add(1); {
		case count == 2*failures+2:
			cancel()
			fallthrough
		case count != failures+1:
			http.Error(writer, "down", http.StatusServiceUnavailable)
		default:
			_, _ = writer.Write([]byte(`{"revision":1,"items":[]}`))
		}
	}))
	defer platform.Close()
	core, logs := observer.New(zapcore.InfoLevel)
	watch := &configurationWatch{
		platform: objectapi.NewClient(platform.URL, platform.Client()), holder: configuration.NewHolder(),
		logger: zap.New(core), timeout: time.Minute,
		pauses: backoff{first: time.Millisecond, most: time.Millisecond, random: rand.New(rand.NewPCG(1, 1))},
	}
	assert.ErrorIs(t, watch.Serve(ctx), context.Canceled)
	var messages []string
	for _, entry := range logs.All() {
		messages = append(messages, entry.Message)
	}
	assert.DeepEqual(t, messages, []string{
		"configuration watch ended", "configuration watch resumed", "configuration watch ended",
	})
}
