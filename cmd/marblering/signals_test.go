package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/harness"
)

// daemon is a kind of daemon, with its settings and the message of its last log line.
type daemon struct {
	command string
	content string
	last    string
}

// daemons returns the three kinds. None reaches a store, and all drain within a second.
func daemons(t *testing.T) []daemon {
	const common = "name: daemon-1\nzone: a\noperator_listen: 127.0.0.1:0\n"
	return []daemon{
		{"serve", common + "peer_listen: 127.0.0.1:0\ncaller_listen: 127.0.0.1:0\n" +
			"object_api: http://127.0.0.1:1\ncall_timeout: 1s\ndrain_timeout: 1s\n", "msg=drained"},
		{"gateway", common + "caller_listen: 127.0.0.1:0\nstore_url: http://127.0.0.1:1\ndrain_timeout: 1s\n", "msg=stopped"},
		{"storage", common + "peer_listen: 127.0.0.1:0\nstore_url: http://127.0.0.1:1\n" +
			"data_folder: " + t.TempDir() + "\n", "msg=stopped"},
	}
}

// startLogged starts the process and returns its output, whichever stream it logs to. A
// process that hangs is killed, which ends its output.
func startLogged(t *testing.T, process *exec.Cmd) *bufio.Scanner {
	t.Helper()
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = reader.Close() })
	process.Stdout, process.Stderr = writer, writer
	assert.NilError(t, process.Start())
	assert.NilError(t, writer.Close())
	watchdog := time.AfterFunc(harness.Generous, func() { _ = process.Process.Kill() })
	t.Cleanup(func() {
		watchdog.Stop()
		_ = process.Process.Kill()
	})
	return bufio.NewScanner(reader)
}

// settingsPipe makes a named pipe for the settings. A process that reads them waits for
// the writer that awaitReader returns.
func settingsPipe(t *testing.T) (path string, awaitReader func() *os.File) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	return path, func() (writer *os.File) {
		harness.Eventually(t, func() (bool, string) {
			var err error
			writer, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
			return err == nil, fmt.Sprint("the process doesn't read its settings: ", err)
		})
		return writer
	}
}

func write(t *testing.T, to *os.File, content string) {
	t.Helper()
	_, err := to.WriteString(content)
	assert.NilError(t, errors.Join(err, to.Close()))
}

// TestTerminationDuringStart guards against a SIGTERM that is lost, or ends the process
// without a drain, while it starts.
func TestTerminationDuringStart(t *testing.T) {
	for _, d := range daemons(t) {
		t.Run(d.command, func(t *testing.T) {
			pipe, awaitReader := settingsPipe(t)
			process := newProcess("main", d.command, "--settings", pipe)
			lines := startLogged(t, process)
			writer := awaitReader()
			assert.NilError(t, process.Process.Signal(syscall.SIGTERM))
			write(t, writer, d.content)
			scanUntil(t, lines, d.last)
			assert.NilError(t, process.Wait())
		})
	}
}

// TestHangupDuringStart guards against a SIGHUP that ends a daemon whose handler isn't
// there yet, or that is forgotten.
func TestHangupDuringStart(t *testing.T) {
	for _, d := range daemons(t) {
		t.Run(d.command, func(t *testing.T) {
			pipe, awaitReader := settingsPipe(t)
			process := newProcess("main", d.command, "--settings", pipe)
			lines := startLogged(t, process)
			writer := awaitReader()
			assert.NilError(t, process.Process.Signal(syscall.SIGHUP))
			write(t, writer, d.content)
			scanUntil(t, lines, "msg=started")
			write(t, awaitReader(), d.content+"log_level: debug\n")
			scanUntil(t, lines, `msg="settings reloaded"`)
			assert.NilError(t, process.Process.Signal(syscall.SIGTERM))
			assert.NilError(t, process.Wait())
		})
	}
}

// TestSignalsInSeries guards against a signal that ends a daemon which reloads its settings
// or drains.
func TestSignalsInSeries(t *testing.T) {
	const (
		term = syscall.SIGTERM
		hup  = syscall.SIGHUP
	)
	for _, d := range daemons(t) {
		for _, signals := range [][]syscall.Signal{{hup, term}, {term, hup}, {term, term}, {hup, hup, term, hup, term, hup}} {
			t.Run(fmt.Sprint(d.command, signals), func(t *testing.T) {
				file := filepath.Join(t.TempDir(), "settings.yaml")
				assert.NilError(t, os.WriteFile(file, []byte(d.content), 0o600))
				process := newProcess("main", d.command, "--settings", file)
				lines := startLogged(t, process)
				scanUntil(t, lines, "msg=started")
				for _, signal := range signals {
					// The process may have ended after the SIGTERM.
					if err := process.Process.Signal(signal); !errors.Is(err, os.ErrProcessDone) {
						assert.NilError(t, err)
					}
				}
				scanUntil(t, lines, d.last)
				assert.NilError(t, process.Wait())
			})
		}
	}
}

// TestHangupReloadsSettingsOfServe guards against a SIGHUP that ends a node, and one that a
// bad file ends.
func TestHangupReloadsSettingsOfServe(t *testing.T) {
	content := daemons(t)[0].content
	file := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	process := newProcess("slow", "serve", "--settings", file)
	stdin, err := process.StdinPipe()
	assert.NilError(t, err)
	lines := startLogged(t, process)
	scanUntil(t, lines, "msg=started")
	steps := []struct{ content, line string }{
		{"nam: x\n", `level=error msg="settings rejected, keeping the current ones"`},
		{content + "log_level: debug\n", `msg="settings reloaded" node=daemon-1 zone=a log_level=debug rest_at_next_start=false`},
		{strings.Replace(content, "zone: a", "zone: b", 1), `msg="settings reloaded" node=daemon-1 zone=a log_level=info rest_at_next_start=true`},
	}
	for _, step := range steps {
		assert.NilError(t, os.WriteFile(file, []byte(step.content), 0o600))
		assert.NilError(t, process.Process.Signal(syscall.SIGHUP))
		scanUntil(t, lines, step.line)
	}
	assert.NilError(t, process.Process.Signal(syscall.SIGTERM))
	scanUntil(t, lines, "msg=draining")
	assert.NilError(t, process.Process.Signal(syscall.SIGHUP))
	assert.NilError(t, process.Process.Signal(syscall.SIGTERM))
	scanUntil(t, lines, `msg="settings reloaded"`)
	assert.NilError(t, stdin.(io.Closer).Close())
	scanUntil(t, lines, "msg=stopped")
	assert.NilError(t, process.Wait())
}
