package golden_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/marblering/marblering/test/harness"
)

// TestCommandLine holds the commands with their arguments, and their flags with type
// and default. What the help says of them may change.
func TestCommandLine(t *testing.T) {
	golden.Assert(t, commandForm(t, build(t)), "commands.golden")
}

// TestSettingsVariable holds the name of the variable by which the platform tells a
// daemon its settings file, and the exit code for one that can't be read.
func TestSettingsVariable(t *testing.T) {
	binary := build(t)
	for _, role := range []string{"gateway", "storage"} {
		missing := filepath.Join(t.TempDir(), "missing.yaml")
		daemon := exec.Command(binary, role)
		daemon.Env = append(daemon.Environ(), "MARBLERING_SETTINGS="+missing)
		output, _ := daemon.CombinedOutput()
		assert.Equal(t, daemon.ProcessState.ExitCode(), 2, string(output))
		assert.Assert(t, strings.Contains(string(output), missing), string(output))
	}
}

// build returns the path of the command's binary. The cache of test results doesn't
// know its sources: go test -count=1 runs the tests of the command line again.
func build(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	assert.NilError(t, harness.Build(folder, false, "../../cmd/marblering"))
	return filepath.Join(folder, "marblering")
}

// commandForm writes the usage and the flags of a command, and then of those below it.
func commandForm(t *testing.T, binary string, path ...string) string {
	t.Helper()
	help := helpOf(t, binary, path)
	var form strings.Builder
	form.WriteString(usageOf(help))
	for _, flag := range flagsOf(help) {
		fmt.Fprintf(&form, "    %s\n", flag)
	}
	for _, below := range commandsOf(help) {
		form.WriteString(commandForm(t, binary, append(path[:len(path):len(path)], below)...))
	}
	return form.String()
}

func helpOf(t *testing.T, binary string, path []string) string {
	t.Helper()
	help, err := exec.Command(binary, append(path, "--help")...).Output()
	assert.NilError(t, err)
	return string(help)
}

// usageOf returns the lines below the heading Usage.
func usageOf(help string) string {
	return strings.ReplaceAll(section(help, "Usage:"), "  marblering", "marblering")
}

// commandsOf names the commands below. Those that the library adds to every command
// line are left out.
func commandsOf(help string) []string {
	var names []string
	for line := range strings.Lines(section(help, "Available Commands:")) {
		name := strings.Fields(line)[0]
		if name != "help" && name != "completion" {
			names = append(names, name)
		}
	}
	return names
}

// flagsOf returns each flag with its type and default.
func flagsOf(help string) []string {
	flag := regexp.MustCompile(`^\s+((?:-\w, )?--\S+(?: \w+)?)\s{2,}.*?(\(default .*\))?\n?$`)
	var flags []string
	for line := range strings.Lines(section(help, "Flags:")) {
		parts := flag.FindStringSubmatch(line)
		flags = append(flags, strings.TrimSpace(parts[1]+" "+parts[2]))
	}
	return flags
}

// section returns the lines from the heading to the next empty line.
func section(help, heading string) string {
	_, rest, found := strings.Cut(help, "\n"+heading+"\n")
	if !found {
		return ""
	}
	lines, _, _ := strings.Cut(rest, "\n\n")
	return strings.TrimSuffix(lines, "\n") + "\n"
}
