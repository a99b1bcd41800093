package runner_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/test/harness"
)

// TestEndedRunnerRefusesConnections guards against an end that looks like a lost response,
// because a child process that is being started has the listening socket for a while.
func TestEndedRunnerRefusesConnections(t *testing.T) {
	const runners, starters = 200, 4
	stopped := make(chan struct{})
	var starting sync.WaitGroup
	defer starting.Wait()
	defer close(stopped)
	for range starters {
		starting.Go(func() {
			for {
				select {
				case <-stopped:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	for range runners {
		started, err := runner.Start("i-1", 0)
		assert.NilError(t, err)
		broken := breakOf(t, started)
		// The crash itself and the test that noticed it close the runner at once.
		go started.Crash()
		go started.Close()
		<-broken
		connection, err := net.Dial("tcp", started.Address)
		if err == nil {
			_ = connection.Close()
			t.Fatal("a runner accepted a connection after its others had broken")
		}
	}
}

// breakOf connects to the runner and returns a channel that is closed once the connection
// breaks.
func breakOf(t *testing.T, of *runner.Runner) <-chan struct{} {
	t.Helper()
	connection, err := net.DialTimeout("tcp", of.Address, time.Second)
	assert.NilError(t, err)
	// A response shows that the runner has accepted the connection.
	_, err = connection.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	assert.NilError(t, err)
	reader := bufio.NewReader(connection)
	_, err = reader.Peek(1)
	assert.NilError(t, err)
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		defer connection.Close()
		_, _ = io.Copy(io.Discard, reader)
	}()
	return broken
}

// TestSilentRunnerAnswersNothing guards against a stand-in that resets, answers or accepts
// connections after it has fallen silent.
func TestSilentRunnerAnswersNothing(t *testing.T) {
	started, err := runner.Start("i-1", 0)
	assert.NilError(t, err)
	defer started.Close()
	started.EndOn("lethal", 0, runner.FallsSilent)
	open, err := net.Dial("tcp", started.Address)
	assert.NilError(t, err)
	defer open.Close()
	for range 2 {
		_, err = open.Write([]byte("GET /lethal HTTP/1.1\r\nHost: x\r\n\r\n"))
		assert.NilError(t, err)
		_ = open.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err = open.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "i/o timeout")
	}
	harness.Eventually(t, func() (bool, string) { return len(started.Ends()) == 1, "the runner hasn't fallen silent" })
	for range 3 {
		_, err = net.DialTimeout("tcp", started.Address, 100*time.Millisecond)
		assert.ErrorContains(t, err, "i/o timeout")
	}
}

// TestRunnerThatStartsAgainAcceptsConnections guards against a stand-in whose address refuses
// connections between two processes, which shows that the first one has ended.
func TestRunnerThatStartsAgainAcceptsConnections(t *testing.T) {
	started, err := runner.Start("i-1", 0)
	assert.NilError(t, err)
	defer started.Close()
	started.EndOn("lethal", 0, runner.StartsAgain)
	first := started.Started()
	open, err := net.Dial("tcp", started.Address)
	assert.NilError(t, err)
	defer open.Close()
	_, err = open.Write([]byte("GET /lethal HTTP/1.1\r\nHost: x\r\n\r\n"))
	assert.NilError(t, err)
	_, err = open.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	again, err := net.Dial("tcp", started.Address)
	assert.NilError(t, err)
	defer again.Close()
	_, err = again.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	assert.NilError(t, err)
	_, err = again.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Assert(t, started.Started().After(first))
}

// TestRunnerThatStartsAgainAsAnotherMarksByProcess guards against a stand-in that sends events
// of the next process on a connection to the one before.
func TestRunnerThatStartsAgainAsAnotherMarksByProcess(t *testing.T) {
	const events, restarts = 1_000_000, 20
	started, err := runner.Start("i-1", events)
	assert.NilError(t, err)
	defer started.Close()
	started.Mark = " of v0"
	for restart := range restarts {
		open, err := net.Dial("tcp", started.Address)
		assert.NilError(t, err)
		_, err = open.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		assert.NilError(t, err)
		before := started.Started()
		lines := bufio.NewScanner(open)
		pieces := 0
		for lines.Scan() {
			_, mark, isPiece := strings.Cut(lines.Text(), " of ")
			if !isPiece {
				continue
			}
			if pieces++; pieces == 1 {
				go started.StartAgainAs(fmt.Sprint(" of v", restart+1))
			}
			assert.Assert(t, strings.HasPrefix(fmt.Sprint("v", restart), mark), "event of %s after %d", mark, pieces)
		}
		assert.Assert(t, lines.Err() != nil, "the connection ended in order")
		assert.Assert(t, started.Started().After(before))
		_ = open.Close()
	}
	assert.Equal(t, len(started.Ends()), restarts)
}
