package integration

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/harness"
)

var (
	streamSoakSeeds = flag.Int("streamsoak.seeds", 2, "number of seeds of TestStreamsKeepTheirVersionUnderFaults")
	streamSoakFirst = flag.Uint64("streamsoak.first", 1, "first of these seeds")
	streamSoakTime  = flag.Duration("streamsoak.time", 15*time.Second, "how long faults are injected for each seed")
)

const (
	soakGateways       = 3
	soakStorageNodes   = 3
	soakClientCount    = 20
	soakEvents         = 12
	soakInstances      = 6
	soakEventPause     = 40 * time.Millisecond
	soakMaxConcurrency = 3 // faults at a time
)

func newStreamSoak(t *testing.T, seed uint64) *soakSystem {
	t.Helper()
	s := newSoakSystem(t, seed, soakLayout{
		gateways: soakGateways, storageNodes: soakStorageNodes, drainTimeout: 4 * time.Second,
		configuration: map[string]any{
			"version": 1,
			"routes": []map[string]any{{
				"name": "r", "host": "desk.example", "path_prefix": "/streams/", "kind": "stream", "timeout_ms": 3000,
				"service": "app", "attempts": 2, "resumable": true,
			}},
			"services": []map[string]any{{"name": "app", "engine": map[string]any{"stream_stride": 25}}},
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		},
	})
	for range soakInstances / 2 {
		s.addInstance("v1")
		s.addInstance("v2")
	}
	s.newest = 2
	return s
}

// crashUntilResumed crashes instances until a stream was resumed, which the faults before
// may not have caused.
func (s *soakSystem) crashUntilResumed(clients *soakClients) {
	s.t.Helper()
	harness.Eventually(s.t, func() (bool, string) {
		if clients.count(func(*soakTotal) {}).resumed > 0 {
			return true, ""
		}
		if restart := s.crashInstance(); restart != nil {
			restart()
		}
		return false, "no stream was resumed"
	})
}

// TestStreamsKeepTheirVersionUnderFaults guards against a stream whose client holds events
// of two software versions, whatever happens to gateways, instances, storage nodes and the
// store meanwhile. Streams that break are resumed at any gateway.
func TestStreamsKeepTheirVersionUnderFaults(t *testing.T) {
	for index := range *streamSoakSeeds {
		seed := *streamSoakFirst + uint64(index)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newStreamSoak(t, seed)
			clients := newSoakClients(s, seed)
			clients.awaitFirstStream(t)
			s.inject(*streamSoakTime)
			s.crashUntilResumed(clients)
			total := clients.stop()
			t.Logf("%+v", total)
			for _, fault := range total.faults {
				t.Error(fault)
			}
			assert.Assert(t, total.whole > 0)
		})
	}
}
