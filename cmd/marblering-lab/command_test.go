package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// run executes a command line and returns its exit code and output.
func run(t *testing.T, arguments ...string) (exit int, out, log string) {
	t.Helper()
	var outBuffer, logBuffer bytes.Buffer
	root := newRootCommand()
	root.SetOut(&outBuffer)
	root.SetErr(&logBuffer)
	exit = execute(t.Context(), root, arguments)
	return exit, outBuffer.String(), logBuffer.String()
}

// TestHelp compares the help of every command with testdata/help.golden, which
// go test ./cmd/marblering-lab -update rewrites.
func TestHelp(t *testing.T) {
	var pages strings.Builder
	var visit func(command *cobra.Command)
	visit = func(command *cobra.Command) {
		arguments := append(strings.Fields(command.CommandPath())[1:], "--help")
		exit, out, log := run(t, arguments...)
		assert.Equal(t, exit, exitOK, log)
		pages.WriteString("$ marblering-lab " + strings.Join(arguments, " ") + "\n" + out + "\n")
		for _, subcommand := range command.Commands() {
			visit(subcommand)
		}
	}
	visit(newRootCommand())
	golden.Assert(t, pages.String(), "help.golden")
}

// TestBadCommandLine checks that an invalid command line is reported as one line and
// starts nothing.
func TestBadCommandLine(t *testing.T) {
	cases := []struct {
		arguments string
		want      string
	}{
		{"engin", `unknown command "engin" for "marblering-lab"`},
		{"engine extra", `unknown command "extra"`},
		{"engine --speed=2", "unknown flag: --speed: see marblering-lab engine --help"},
		{"engine --listen=localhost:1", `listen address "localhost:1" isn't an IP number and port`},
		{"engine --generation=gen9", `unknown generation "gen9", want one of gen1,`},
		{"engine --time-scale=-1", "time scale -1"},
		{"engine --cache-event-loss=2", "cache event loss 2, want 0 to 1"},
		{"engine --load-lag=-1s", "a lag, delay or limit is negative"},
		{"engine --memory-tokens=-1", "a lag, delay or limit is negative"},
		{"engine --models=@v1", "a model or adapter has no name"},
		{"engine --weight-store=127.0.0.1:7400", `weight store "127.0.0.1:7400", want a URL`},
		{"objectstore --log-limit=-1", "neither may be negative"},
		{"weightstore --size=-1", "neither may be negative"},
		{"weightstore --rate=NaN", "neither may be negative"},
		{"tool --size=1", "unknown flag: --size"},
		{"run", "accepts 1 arg(s), received 0: see marblering-lab run --help"},
	}
	for _, c := range cases {
		t.Run(c.arguments, func(t *testing.T) {
			exit, out, log := run(t, strings.Fields(c.arguments)...)
			assert.Equal(t, exit, exitUsage, log)
			assert.Equal(t, out, "")
			assert.Assert(t, strings.HasPrefix(log, "marblering-lab: ") && strings.Contains(log, c.want), log)
			assert.Equal(t, strings.Count(log, "\n"), 1, log)
		})
	}
}

// TestStandInsServeUntilCanceled starts each stand-in on a free port, sends it a request
// and stops it by canceling its context.
func TestStandInsServeUntilCanceled(t *testing.T) {
	cases := []struct {
		arguments, path string
	}{
		{"engine --name=e --models=m@2 --load-lag=0", "/v1/state"},
		{"objectstore --seed=3", "/api"},
		{"tool", "/ledger"},
		{"weightstore --size=10", "/weights/m/1"},
	}
	for _, c := range cases {
		t.Run(c.arguments, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			reader, writer := io.Pipe()
			root := newRootCommand()
			root.SetOut(writer)
			exited := make(chan int, 1)
			go func() { exited <- execute(ctx, root, strings.Fields(c.arguments)) }()
			line := make([]byte, 100)
			count, err := reader.Read(line)
			assert.NilError(t, err)
			address, found := strings.CutPrefix(strings.TrimSpace(string(line[:count])), "listening address=")
			assert.Assert(t, found, "%s", line)
			response, err := http.Get("http://" + address + c.path)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusOK)
			stop()
			assert.Equal(t, <-exited, exitOK)
		})
	}
}

// TestStandInAnswersWhatIsInFlight guards against a stand-in that ends with its server's
// listener and cuts the answers that it is at work on.
func TestStandInAnswersWhatIsInFlight(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	arrived, release := make(chan struct{}), make(chan struct{})
	closed := make(chan struct{})
	command := standIn{use: "slow", newHandler: func() (http.Handler, func()) {
		return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			close(arrived)
			<-release
			_, _ = io.WriteString(writer, "whole")
		}), func() { close(closed) }
	}}.command()
	reader, writer := io.Pipe()
	command.SetOut(writer)
	command.SetArgs(nil)
	exited := make(chan error, 1)
	go func() { exited <- command.ExecuteContext(ctx) }()
	line := make([]byte, 100)
	count, err := reader.Read(line)
	assert.NilError(t, err)
	address := strings.TrimPrefix(strings.TrimSpace(string(line[:count])), "listening address=")
	answered := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + address)
		if err != nil {
			answered <- err.Error()
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		answered <- string(body) + fmt.Sprint(err)
	}()
	<-arrived
	stop()
	select {
	case <-closed:
		t.Error("the handler is closed while a request is in flight")
	case <-time.After(200 * time.Millisecond):
	}
	close(release)
	assert.Equal(t, <-answered, "whole<nil>")
	assert.NilError(t, <-exited)
}
