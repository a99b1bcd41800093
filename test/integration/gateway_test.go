package integration

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/platformstore"
	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/test/harness"
)

// edge is a gateway process between a stand-in store and a stand-in runner of the
// users' platform.
type edge struct {
	store    *platformstore.Server
	storeURL string
	file     string
	runner   *runner.Runner
	process  *harness.Process
	version  int
	serial   atomic.Int64
}

func newEdge(t *testing.T) *edge {
	t.Helper()
	e := &edge{store: platformstore.New()}
	server := httptest.NewServer(e.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	e.storeURL = server.URL
	e.file = filepath.Join(t.TempDir(), "gateway.yaml")
	settings := "name: edge-1\nzone: a\ncaller_listen: 127.0.0.1:0\noperator_listen: 127.0.0.1:0\n" +
		"store_url: " + server.URL + "\napply_limit: 500ms\ndrain_timeout: 4s\n"
	assert.NilError(t, os.WriteFile(e.file, []byte(settings), 0o600))
	e.configure()
	started, err := runner.Start("i-1", 40)
	assert.NilError(t, err)
	t.Cleanup(started.Close)
	e.runner = started
	e.store.Put("servers", "i-1", map[string]any{"service": "app", "address": started.Address, "zone": "a", "capacity": 8, "state": "ready"})
	e.start(t)
	return e
}

// configure writes the next version, whose only route names it.
func (e *edge) configure() {
	e.version++
	e.store.Put("config", "main", map[string]any{
		"version": e.version,
		"routes": []map[string]any{{
			"name": "r", "host": "desk.example", "path_prefix": fmt.Sprintf("/v%d/", e.version), "kind": "stream",
			"timeout_ms": 20_000, "service": "app", "attempts": 1,
		}},
		"services": []map[string]any{{"name": "app"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

func (e *edge) start(t *testing.T) {
	t.Helper()
	e.process = harness.Start(t, harness.Command{
		Name: "edge-1", Path: filepath.Join(binaries, "marblering"), Arguments: []string{"gateway", "--settings", e.file},
	})
	e.process.WaitHTTP(t, "http://"+e.process.WaitValue(t, "operator_address")+"/readyz")
}

// ask returns the status and the events of a whole answer.
func (e *edge) ask(t *testing.T, address string, version int) (status, events int, err error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v%d/x", address, version), strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "desk.example"
	request.Header.Set(runner.HeaderID, fmt.Sprint("id-", e.serial.Add(1)))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.Count(string(body), "\n\n"), err
}

func (e *edge) awaitStatus(t *testing.T, version, want int) {
	t.Helper()
	address := e.process.WaitValue(t, "caller_address")
	harness.Eventually(t, func() (bool, string) {
		status, _, err := e.ask(t, address, version)
		return err == nil && status == want, fmt.Sprintf("version %d: %d %v", version, status, err)
	})
}

// TestGatewayStoppedWhileItServes cuts no answer and ends with code 0, though
// clients go on asking until their connections are refused.
func TestGatewayStoppedWhileItServes(t *testing.T) {
	t.Parallel()
	e := newEdge(t)
	address := e.process.WaitValue(t, "caller_address")
	e.runner.SetPause(20 * time.Millisecond)
	var clients sync.WaitGroup
	var whole, cut, refused atomic.Int64
	for range 6 {
		clients.Go(func() {
			for refused.Load() == 0 {
				status, events, err := e.ask(t, address, e.version)
				switch {
				case err == nil && status == http.StatusOK && events == e.runner.Events:
					whole.Add(1)
				case err != nil && strings.Contains(err.Error(), "refused"):
					refused.Add(1)
				default:
					cut.Add(1)
				}
			}
		})
	}
	harness.Eventually(t, func() (bool, string) { return whole.Load() > 3, "no answers" })
	e.process.Terminate()
	clients.Wait()
	assert.Equal(t, e.process.Wait(t), 0)
	assert.Equal(t, cut.Load(), int64(0))
}

// TestGatewayKilledAndStarted serves by the newest configuration again, also while
// the store says nothing after its first listing.
func TestGatewayKilledAndStarted(t *testing.T) {
	t.Parallel()
	e := newEdge(t)
	e.awaitStatus(t, 1, http.StatusOK)
	e.process.Kill()
	e.configure()
	e.start(t)
	e.awaitStatus(t, 2, http.StatusOK)
	e.store.SetMode(platformstore.Silent)
	status, events, err := e.ask(t, e.process.WaitValue(t, "caller_address"), 2)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, events, e.runner.Events)
}

// TestGatewayFrozenWhileTheConfigurationChanges has the new one in force after it
// wakes, and never the old one again.
func TestGatewayFrozenWhileTheConfigurationChanges(t *testing.T) {
	t.Parallel()
	e := newEdge(t)
	e.awaitStatus(t, 1, http.StatusOK)
	e.process.Pause(t)
	e.configure()
	e.process.Resume()
	e.awaitStatus(t, 2, http.StatusOK)
	for range 20 {
		status, _, err := e.ask(t, e.process.WaitValue(t, "caller_address"), 1)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusNotFound)
	}
}

// TestRolesRefuseSettings ends with code 2 and one line.
func TestRolesRefuseSettings(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "bad.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("name: a\nzoen: b\n"), 0o600))
	for _, role := range []string{"gateway", "storage"} {
		process := harness.Start(t, harness.Command{
			Name: role, Path: filepath.Join(binaries, "marblering"), Arguments: []string{role},
			Environment: []string{"MARBLERING_SETTINGS=" + file},
		})
		assert.Equal(t, process.Wait(t), 2)
		assert.Equal(t, strings.Count(process.Output(), "\n"), 1, process.Output())
		assert.Assert(t, strings.Contains(process.Output(), "zoen: unknown key"), process.Output())
	}
}
