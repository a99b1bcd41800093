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

// onlyMember is a deployment of one node.
type onlyMember struct{}

func (onlyMember) Self() configuration.Peer {
	return configuration.Peer{Member: configuration.Member{Node: "node-1", Zone: "zone-1"}}
}
func (m onlyMember) Live() []configuration.Peer           { return []configuration.Peer{m.Self()} }
func (onlyMember) ReplicaSets() configuration.ReplicaSets { return configuration.ReplicaSets{} }

// TestWatchLogsChangesOfState lets the platform fail several times, serve, and
// fail again.
func TestWatchLogsChangesOfState(t *testing.T) {
	const failures = 4
	var lists, watches atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	platform := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case !strings.HasPrefix(request.URL.Path, "/watch"):
			if lists.Add(1) <= failures {
				http.Error(writer, "down", http.StatusServiceUnavailable)
				return
			}
			_, _ = writer.Write([]byte(`{"revision":1,"items":[]}`))
		case watches.Add(1) == 1:
			// One bookmark, then the end of the stream.
			_, _ = writer.Write([]byte(`{"revision":1}` + "\n"))
		default:
			if watches.Load() == failures {
				cancel()
			}
			http.Error(writer, "down", http.StatusServiceUnavailable)
		}
	}))
	defer platform.Close()
	core, logs := observer.New(zapcore.InfoLevel)
	agent, err := configuration.NewAgent(configuration.AgentOptions{
		Platform: objectapi.NewPlatform(objectapi.NewClient(platform.URL, platform.Client()), time.Minute),
		Members:  onlyMember{},
		Holder:   configuration.NewHolder(),
		Logger:   zap.New(core),
		Random:   rand.New(rand.NewPCG(1, 1)),
		Settings: configuration.Settings{
			Settle: time.Millisecond, ReadPauseFirst: time.Millisecond, ReadPauseLast: time.Millisecond,
		},
	})
	assert.NilError(t, err)
	assert.ErrorIs(t, agent.Serve(ctx), context.Canceled)
	var messages []string
	for _, entry := range logs.All() {
		if strings.HasPrefix(entry.Message, "configuration watch") {
			messages = append(messages, entry.Message)
		}
	}
	assert.DeepEqual(t, messages, []string{
		"configuration watch ended", "configuration watch resumed", "configuration watch ended",
	})
}

// TestUpdatesKeepTheirMeaningOnTheWire sends each sort of update to another node
// and back.
func TestUpdatesKeepTheirMeaningOnTheWire(t *testing.T) {
	object := func(name string, version uint64) configuration.Object {
		return configuration.Object{
			Key: configuration.Key{Kind: configuration.KindModel, Name: name}, Version: version, Body: []byte(`{}`),
		}
	}
	removed := object("c", 6)
	removed.Deleted = true
	cases := map[string]configuration.Update{
		"complete":    {Version: 7, Objects: []configuration.Object{object("a", 3)}, Complete: true},
		"incremental": {Version: 7, Base: 5, Objects: []configuration.Object{object("a", 6), removed}},
		"rejected":    {Version: 7, Base: 5, Rejected: []configuration.Object{object("b", 7)}},
	}
	for name, update := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, installFromWire(installToWire(update)), update)
		})
	}
}
