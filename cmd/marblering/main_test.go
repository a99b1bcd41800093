package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/test/harness"
)

// testModeEnv is the environment variable that makes the test binary run as the command,
// so that the tests need no second binary.
const testModeEnv = "MARBLERING_TEST_MAIN"

func TestMain(m *testing.M) {
	switch os.Getenv(testModeEnv) {
	case "":
		os.Exit(m.Run())
	case "main":
		main()
	case "slow":
		os.Exit(runUntilSignal(logAndDrain))
	default:
		os.Exit(runUntilSignal(logAndWait))
	}
}

// logAndWait is a nodeRunner that logs its start and stop and waits for cancellation.
func logAndWait(ctx context.Context, _ settings.Settings, logger *zap.Logger) error {
	logger.Info("started")
	<-ctx.Done()
	logger.Info("stopped")
	return nil
}

// logAndDrain is a nodeRunner whose drain ends with the standard input.
func logAndDrain(ctx context.Context, _ settings.Settings, logger *zap.Logger) error {
	logger.Info("started")
	<-ctx.Done()
	logger.Info("draining")
	_, err := io.Copy(io.Discard, os.Stdin)
	logger.Info("stopped")
	return err
}

func newProcess(mode string, arguments ...string) *exec.Cmd {
	process := exec.Command(os.Args[0], arguments...)
	process.Env = append(os.Environ(), testModeEnv+"="+mode)
	return process
}

// processResult is the exit code and output of a finished process.
type processResult struct {
	exit     int
	out, log string
}

func runToEnd(t *testing.T, arguments ...string) processResult {
	t.Helper()
	process := newProcess("main", arguments...)
	var out, log bytes.Buffer
	process.Stdout, process.Stderr = &out, &log
	if err := process.Run(); err != nil {
		var exited *exec.ExitError
		assert.Assert(t, errors.As(err, &exited), "%v", err)
	}
	return processResult{process.ProcessState.ExitCode(), out.String(), log.String()}
}

func TestCommandLine(t *testing.T) {
	folder := t.TempDir()
	unknown := filepath.Join(folder, "unknown.yaml")
	assert.NilError(t, os.WriteFile(unknown, []byte("name: a\nzoen: b\n"), 0o600))
	example := filepath.Join("..", "..", "docs", "examples", "node.yaml")
	log := filepath.Join(folder, "gateway.log")
	assert.NilError(t, os.WriteFile(log, []byte(
		"time=2026-05-22T10:00:02Z level=info msg=\"not answered\" node=edge-1 request=r1 code=1008 reason=why took=0.5\n"), 0o600))
	cases := []struct {
		name      string
		arguments []string
		exit      int
		out, log  string
	}{
		{"explain", []string{"explain", log, log, "r1"}, exitOK, `not answered  request="r1" code="1008" reason="why" took="0.5"`, ""},
		{"explain an unknown id", []string{"explain", log, "r2"}, exitFailure, "", `no log line contains the ID "r2"`},
		{"explain without a log", []string{"explain", "r2"}, exitUsage, "", "requires at least 2 arg(s)"},
		{"explain a missing log", []string{"explain", filepath.Join(folder, "none.log"), "r2"}, exitFailure, "", "no such file"},
		{"example", []string{"config", "check", example}, exitOK, example + ": ok\n", ""},
		{"version", []string{"version"}, exitOK, "marblering ", ""},
		{"help", nil, exitOK, "Usage:", ""},
		{"unknown key", []string{"config", "check", unknown}, exitUsage, "", unknown + ": zoen: unknown key (allowed: name, zone,"},
		{"no file", []string{"config", "check", filepath.Join(folder, "none.yaml")}, exitUsage, "", "no such file"},
		{"no argument", []string{"config", "check"}, exitUsage, "", "accepts 1 arg(s)"},
		{"unknown command", []string{"sevre"}, exitUsage, "", `unknown command "sevre"`},
		{"unknown flag", []string{"serve", "--zoen=b"}, exitUsage, "", "unknown flag: --zoen: see marblering serve --help"},
		{"serve with a bad file", []string{"serve", "--settings", unknown}, exitUsage, "", "zoen: unknown key"},
		{"serve with a bad flag", []string{"serve", "--settings", example, "--peer-timeout=2"}, exitUsage, "", "flag --peer-timeout: peer_timeout: "},
		{"serve without settings", []string{"serve"}, exitUsage, "", "flags: name: missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := runToEnd(t, c.arguments...)
			assert.Equal(t, got.exit, c.exit, got.log)
			assert.Assert(t, strings.Contains(got.out, c.out), got.out)
			assert.Assert(t, strings.Contains(got.log, c.log), got.log)
			if c.exit != exitOK {
				assert.Equal(t, got.out, "")
				assert.Equal(t, strings.Count(got.log, "\n"), 1, got.log)
			}
		})
	}
}

// TestSignalStopsServe checks that SIGTERM and SIGINT each stop serve cleanly.
func TestSignalStopsServe(t *testing.T) {
	for _, stop := range []os.Signal{syscall.SIGTERM, os.Interrupt} {
		process := newProcess("wait", "serve", "--settings", filepath.Join("..", "..", "docs", "examples", "node.yaml"))
		log, err := process.StderrPipe()
		assert.NilError(t, err)
		assert.NilError(t, process.Start())
		lines := bufio.NewScanner(log)
		assert.Assert(t, lines.Scan())
		assert.Assert(t, strings.HasSuffix(lines.Text(), "level=info msg=started node=hall-a-1 zone=hall-a"), lines.Text())
		assert.NilError(t, process.Process.Signal(stop))
		assert.Assert(t, lines.Scan())
		assert.Assert(t, strings.Contains(lines.Text(), "msg=stopped"), lines.Text())
		assert.NilError(t, process.Wait())
	}
}

func TestExitCodes(t *testing.T) {
	cases := []struct {
		err  error
		want int
	}{
		{&settings.Error{Source: "f"}, exitUsage},
		{merry.Prepend(&settings.Error{Source: "f"}, "starting"), exitUsage},
		{&usageError{cause: merry.New("x")}, exitUsage},
		{merry.New("the port is taken"), exitFailure},
	}
	for _, c := range cases {
		assert.Equal(t, exitCode(c.err), c.want, "%v", c.err)
	}
}

// TestSignalsDuringDrainAreIgnored sends SIGHUP and SIGTERM to a draining gateway, which
// must finish the drain and exit cleanly.
func TestSignalsDuringDrainAreIgnored(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gateway.yaml")
	content := "name: edge-1\nzone: a\ncaller_listen: 127.0.0.1:0\noperator_listen: 127.0.0.1:0\n" +
		"store_url: http://127.0.0.1:1\ndrain_timeout: 1s\n"
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	process := newProcess("main", "gateway", "--settings", file)
	log, err := process.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, process.Start())
	lines := bufio.NewScanner(log)
	scanUntil(t, lines, "msg=started")
	assert.NilError(t, process.Process.Signal(syscall.SIGTERM))
	scanUntil(t, lines, "msg=draining")
	assert.NilError(t, process.Process.Signal(syscall.SIGHUP))
	assert.NilError(t, process.Process.Signal(syscall.SIGTERM))
	scanUntil(t, lines, "msg=stopped")
	assert.NilError(t, process.Wait())
}

// TestHangupDuringStartReloadsSettings guards against a SIGHUP that ends a process whose
// handler isn't registered yet. The process waits for its settings to be written to a pipe.
func TestHangupDuringStartReloadsSettings(t *testing.T) {
	pipe := filepath.Join(t.TempDir(), "gateway.yaml")
	assert.NilError(t, syscall.Mkfifo(pipe, 0o600))
	awaitReader := func() (writer *os.File) {
		harness.Eventually(t, func() (bool, string) {
			var err error
			writer, err = os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0)
			return err == nil, fmt.Sprint("the process doesn't read its settings: ", err)
		})
		return writer
	}
	const content = "name: edge-1\nzone: a\ncaller_listen: 127.0.0.1:0\noperator_listen: 127.0.0.1:0\n" +
		"store_url: http://127.0.0.1:1\ndrain_timeout: 1s\n"
	process := newProcess("main", "gateway", "--settings", pipe)
	log, err := process.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, process.Start())
	first := awaitReader()
	assert.NilError(t, process.Process.Signal(syscall.SIGHUP))
	_, err = first.WriteString(content)
	assert.NilError(t, errors.Join(err, first.Close()))
	lines := bufio.NewScanner(log)
	scanUntil(t, lines, "msg=started")
	second := awaitReader()
	_, err = second.WriteString(content)
	assert.NilError(t, errors.Join(err, second.Close()))
	scanUntil(t, lines, `msg="settings reloaded"`)
	assert.NilError(t, process.Process.Signal(syscall.SIGTERM))
	scanUntil(t, lines, "msg=stopped")
	assert.NilError(t, process.Wait())
}

func scanUntil(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	t.Fatalf("the process ended without %q in its log", text)
}
