package integration

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSignalsInSeriesAtANodeCutNoStream guards against a SIGHUP or a second SIGTERM that
// ends a node of serve which streams answers.
func TestSignalsInSeriesAtANodeCutNoStream(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2, timeScale: 1})
	opened := s.openStreams(t, 0, 6)
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		assert.NilError(t, syscall.Kill(s.nodes[0].PID(), signal))
	}
	opened.areWhole(t, s)
	assert.Equal(t, s.nodes[0].Wait(t), 0)
}

// TestRequestWithoutItsBodyAtAStopCutsNothingElse guards against a client that sends no
// body and uses up the drain timeout of a node of serve.
func TestRequestWithoutItsBodyAtAStopCutsNothingElse(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2, timeScale: 1, flags: []string{"--call-timeout=10s", "--drain-timeout=12s"}})
	stalled, err := net.Dial("tcp", strings.TrimPrefix(s.nodes[0].callers, "http://"))
	assert.NilError(t, err)
	defer stalled.Close()
	_, err = fmt.Fprintf(stalled, "POST /v1/programs HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", apiKey)
	assert.NilError(t, err)
	opened := s.openStreams(t, 0, 6)
	s.nodes[0].Terminate()
	opened.areWhole(t, s)
	response, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Close)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, s.nodes[0].Wait(t), 1)
	log := s.nodes[0].Output()
	assert.Equal(t, strings.Count(log, `msg="request cut by the drain"`), 1, log)
	assert.Assert(t, !strings.Contains(log, "stopping before the handover"), log)
}
