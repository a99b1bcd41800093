package harness

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Command says how to start a process.
type Command struct {
	// Name stands before the process's output in the log of a failed test.
	Name      string
	Path      string
	Arguments []string
	// Environment is added to that of the test.
	Environment []string
}

// Process is one running binary. It is killed when its test ends.
type Process struct {
	Command Command
	command *exec.Cmd
	output  Output
	ended   chan struct{}
}

// Start runs the command. Its output is logged at the end if the test failed.
func Start(t testing.TB, command Command) *Process {
	t.Helper()
	p := &Process{Command: command, ended: make(chan struct{})}
	p.command = exec.Command(command.Path, command.Arguments...)
	p.command.Env = append(os.Environ(), command.Environment...)
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	assert.NilError(t, p.command.Start(), "starting %s", command.Name)
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("--- output of %s\n%s", command.Name, p.Output())
		}
	})
	return p
}

// Output returns what the process has written to its standard output and error.
func (p *Process) Output() string { return p.output.String() }

// WaitValue waits for a field key=value in the output and returns the first
// value. It ends the test if the process ends without it.
func (p *Process) WaitValue(t testing.TB, key string) (value string) {
	t.Helper()
	Eventually(t, func() (found bool, message string) {
		ended := p.HasEnded()
		value, found = p.output.value(key)
		if ended && !found {
			t.Fatalf("%s ended without %s= in its output", p.Command.Name, key)
		}
		return found, fmt.Sprintf("no %s= in the output of %s", key, p.Command.Name)
	})
	return value
}

// WaitHTTP waits until a GET of the URL answers with status 200.
func (p *Process) WaitHTTP(t testing.TB, url string) {
	t.Helper()
	client := http.Client{Timeout: Generous}
	Eventually(t, func() (bool, string) {
		response, err := client.Get(url)
		if err != nil {
			return false, fmt.Sprintf("%s: %v", p.Command.Name, err)
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK, fmt.Sprintf("%s: %s: %s", p.Command.Name, url, response.Status)
	})
}

// Kill sends SIGKILL, also to a paused process, and waits for the end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// Terminate sends SIGTERM and doesn't wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Pause sends SIGSTOP and waits until the process stands still.
func (p *Process) Pause(t testing.TB) {
	t.Helper()
	p.signal(syscall.SIGSTOP)
	Eventually(t, func() (bool, string) { return p.isStopped(), p.Command.Name + " doesn't stop" })
}

// Resume sends SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Wait waits for the process to end by itself and returns its exit code, -1 if
// a signal ended it.
func (p *Process) Wait(t testing.TB) int {
	t.Helper()
	Eventually(t, func() (bool, string) { return p.HasEnded(), p.Command.Name + " doesn't end" })
	return p.command.ProcessState.ExitCode()
}

// PID is the id of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// HasEnded tells whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// signal fails only for a process that has ended, which is what its callers
// would see anyway.
func (p *Process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// isStopped reads the state letter that follows the name in /proc/PID/stat
// (proc(5)).
func (p *Process) isStopped() bool {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	return strings.Contains(string(content), ") T ")
}
