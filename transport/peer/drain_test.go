package peer_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/streamorigin"
	"github.com/marblering/marblering/test/harness"
	"github.com/marblering/marblering/transport/peer"
)

// TestDrainWaitsForCallsAndRefusesNewOnes guards against a storage node that cuts the calls
// under way when it stops, or accepts calls that it will cut.
func TestDrainWaitsForCallsAndRefusesNewOnes(t *testing.T) {
	echo := &echoingReplica{}
	handler := peer.NewStorageHandler(echo, nil, nil, &countingHost{}, streamorigin.NewTable(time.Now), nil, nil, nil, peer.NewMetrics(prometheus.NewRegistry()))
	server := httptest.NewUnstartedServer(nil)
	server.Config = peer.NewHTTPServer(handler)
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	client := newPeerClient(t)
	value, err := prepare(t.Context(), client, memberAt(server), "key")
	assert.NilError(t, err)
	assert.Equal(t, value, "key")
	harness.Eventually(t, func() (bool, string) {
		return len(handler.CallsUnderWay()) == 0, "an answered call is under way"
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var blocked sync.WaitGroup
	blocked.Go(func() { _, _ = prepare(ctx, client, memberAt(server), blockingKey) })
	harness.Eventually(t, func() (bool, string) { return echo.blocked.Load() == 1, "the call doesn't arrive" })
	over, end := context.WithCancel(t.Context())
	end()
	assert.DeepEqual(t, handler.Drain(over), map[string]int64{"Prepare": 1})
	_, err = prepare(t.Context(), client, memberAt(server), "key")
	assert.ErrorContains(t, err, "this node is stopping")
	drained := make(chan map[string]int64, 1)
	go func() { drained <- handler.Drain(t.Context()) }()
	assert.Equal(t, len(drained), 0)
	cancel()
	blocked.Wait()
	assert.Equal(t, len(<-drained), 0)
	assert.Equal(t, echo.ended.Load(), int64(1))
}

// TestClosedStreamsLeaveNoCallsUnderWay guards against a stop that waits for calls of peers
// that are gone.
func TestClosedStreamsLeaveNoCallsUnderWay(t *testing.T) {
	echo := &echoingReplica{}
	handler := peer.NewStorageHandler(echo, nil, nil, &countingHost{}, streamorigin.NewTable(time.Now), nil, nil, nil, peer.NewMetrics(prometheus.NewRegistry()))
	server := httptest.NewUnstartedServer(nil)
	server.Config = peer.NewHTTPServer(handler)
	server.Start()
	t.Cleanup(server.Close)
	client := newPeerClient(t)
	var calls sync.WaitGroup
	const count = 20
	for range count {
		calls.Go(func() { _, _ = prepare(t.Context(), client, memberAt(server), blockingKey) })
	}
	harness.Eventually(t, func() (bool, string) { return echo.blocked.Load() == count, "the calls don't arrive" })
	client.Close()
	calls.Wait()
	harness.Eventually(t, func() (bool, string) {
		return len(handler.CallsUnderWay()) == 0, "calls of a closed stream are under way"
	})
	server.CloseClientConnections()
}
