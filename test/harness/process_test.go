package harness_test

import (
	"path/filepath"
	"testing"

	"github.com/marblering/marblering/test/harness"
	"gotest.tools/v3/assert"
)

func TestProcess(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, harness.Build(folder, false, "./testdata/server"))
	command := harness.Command{Name: "server", Path: filepath.Join(folder, "server")}

	server := harness.Start(t, command)
	address := server.WaitValue(t, "address")
	server.WaitHTTP(t, "http://"+address)
	server.Pause(t)
	server.Terminate()
	assert.Assert(t, !server.HasEnded(), "a paused process can't act on SIGTERM")
	server.Resume()
	assert.Equal(t, server.Wait(t), 3)

	server = harness.Start(t, command)
	server.WaitValue(t, "address")
	server.Pause(t)
	server.Kill()
	assert.Equal(t, server.Wait(t), -1)
}

func TestBuildNamesTheFault(t *testing.T) {
	err := harness.Build(t.TempDir(), false, "./testdata/missing")
	assert.ErrorContains(t, err, "testdata/missing")
}
