package runner_test

import (
	"bufio"
	"io"
	"net"
	"os/exec"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/runner"
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
