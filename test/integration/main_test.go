// Package integration runs the built binaries as separate processes on
// loopback and checks what callers, engines and the platform saw.
package integration

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// generous bounds every wait; no verdict depends on how long something took.
const generous = 60 * time.Second

var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "marblering-test-")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	binaries = folder
	build := exec.Command("go", "build", "-o", folder+"/", "../../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Printf("building: %v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one running binary.
type process struct {
	command *exec.Cmd
	log     string
	done    chan struct{}
}

// start runs a binary and kills it at the end of the test.
func start(t *testing.T, name, binary string, arguments ...string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), name+".log")
	log, err := os.Create(path)
	assert.NilError(t, err)
	command := exec.Command(filepath.Join(binaries, binary), arguments...)
	command.Stdout, command.Stderr = log, log
	assert.NilError(t, command.Start())
	p := &process{command: command, log: path, done: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.done
		if t.Failed() {
			content, _ := os.ReadFile(path)
			t.Logf("--- %s\n%s", name, content)
		}
	})
	return p
}

func (p *process) signal(signal os.Signal) { _ = p.command.Process.Signal(signal) }

// await waits until the log has a line with key=value and returns the value.
func (p *process) await(t *testing.T, key string) string {
	t.Helper()
	value := ""
	eventually(t, func() bool {
		file, err := os.Open(p.log)
		if err != nil {
			return false
		}
		defer file.Close()
		for lines := bufio.NewScanner(file); lines.Scan(); {
			for _, field := range strings.Fields(lines.Text()) {
				if found, ok := strings.CutPrefix(field, key+"="); ok {
					value = found
					return true
				}
			}
		}
		return false
	}, "no %s= in %s", key, p.log)
	return value
}

// eventually waits for the condition.
func eventually(t *testing.T, condition func() bool, format string, arguments ...any) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), generous)
	defer cancel()
	for !condition() {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			t.Fatalf("gave up waiting: "+format, arguments...)
		}
	}
}
