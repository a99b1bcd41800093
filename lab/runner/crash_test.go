package runner_test

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/runner"
)

// TestCrashedRunnerRefusesConnections guards against a crash that looks like a lost response,
// because a child process that is being started has the listening socket for a while.
func TestCrashedRunnerRefusesConnections(t *testing.T) {
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
		started.Crash()
		connection, err := net.Dial("tcp", started.Address)
		if err == nil {
			_ = connection.Close()
			t.Fatal("a crashed runner accepted a connection")
		}
	}
}
