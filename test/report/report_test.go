package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Events of one passing and one failing test, and of ways to end the package.
const (
	onePass = `{"Action":"run","Package":"p","Test":"TestA"}{"Action":"pass","Package":"p","Test":"TestA"}`
	oneFail = `{"Action":"run","Package":"p","Test":"TestB"}{"Action":"output","Package":"p","Test":"TestB/sub","Output":"boom\n"}{"Action":"fail","Package":"p","Test":"TestB/sub"}{"Action":"fail","Package":"p","Test":"TestB"}`
	// oneAssertion fails as oneFail does, with the line of an assertion before others.
	oneAssertion = `{"Action":"run","Package":"p","Test":"TestB"}{"Action":"output","Package":"p","Test":"TestB","Output":"    b_test.go:27: boom\n"}{"Action":"output","Package":"p","Test":"TestB","Output":"    process.go:48: --- output of engine-2\n"}{"Action":"fail","Package":"p","Test":"TestB"}`
	oneSkip      = `{"Action":"run","Package":"p","Test":"TestC"}{"Action":"skip","Package":"p","Test":"TestC"}`
	packagePass  = `{"Action":"pass","Package":"p"}`
	packageFail  = `{"Action":"output","Package":"p","Output":"exit status 1\n"}{"Action":"fail","Package":"p"}`
	packageDies  = `{"Action":"output","Package":"p","Output":"exit status 2\n"}{"Action":"fail","Package":"p"}`
	buildFails   = `{"ImportPath":"p [p.test]","Action":"build-output","Output":"undefined: x\n"}{"ImportPath":"p [p.test]","Action":"build-fail"}{"Action":"fail","Package":"p"}`
)

func TestReport(t *testing.T) {
	line := "p.TestB, the engine, sometimes, drops it, #3\n"
	cases := []struct {
		name   string
		events string
		known  string
		status int
		fails  bool
		want   []string
	}{
		{"all pass", onePass + packagePass, "", 0, false, []string{"1 passed, 0 failed"}},
		{"one fails", onePass + oneFail + packageFail, "", 1, true, []string{"boom", "FAULT: p.TestB failed", "1 passed, 1 failed"}},
		{"assertion is repeated at the end", onePass + oneAssertion + packageFail, "", 1, true,
			[]string{"failed at: b_test.go:27: boom\nFAULT: p.TestB failed"}},
		{"known one fails", onePass + oneFail + packageFail, line, 1, false,
			[]string{"known failing: p.TestB: the engine, sometimes, drops it (#3)", "1 passed, 1 failed"}},
		{"known one passes", strings.ReplaceAll(onePass, "TestA", "TestB") + packagePass, line, 0, false,
			[]string{"passes, strike it off KNOWN-RED.txt: p.TestB", "1 passed, 0 failed"}},
		{"known one is gone", onePass + packagePass, line, 0, true, []string{"which wasn't run"}},
		{"known one is skipped", onePass + strings.ReplaceAll(oneSkip, "TestC", "TestB") + packagePass, line, 0, true, []string{"which was skipped"}},
		{"known one ends the process", onePass + oneFail + packageDies, line, 1, true, []string{"FAULT: p failed outside", "1 passed, 2 failed"}},
		{"another is unfinished", `{"Action":"run","Package":"p","Test":"TestD"}` + oneFail + packageFail, line, 1, true, []string{"FAULT: p failed outside"}},
		{"unfinished ones are named, with what they wrote",
			`{"Action":"run","Package":"p","Test":"TestE"}{"Action":"run","Package":"p","Test":"TestD"}{"Action":"output","Package":"p","Test":"TestD","Output":"panic: gone\n"}` + packageDies, "", 1, true,
			[]string{"--- unfinished p.TestD\npanic: gone\n--- unfinished p.TestE\n", "FAULT: p failed outside its tests, or some didn't finish: p.TestD, p.TestE"}},
		{"build fails", buildFails, "", 1, true, []string{"undefined: x", "FAULT: p failed outside", "0 passed, 1 failed"}},
		{"skip is shown", onePass + oneSkip + packagePass, "", 0, false, []string{"skipped: p.TestC", "1 passed, 0 failed"}},
		{"nothing run", "", "", 0, true, []string{"FAULT: no test was run"}},
		{"unexplained exit code", onePass + packagePass, "", 2, true, []string{"go test exited with 2"}},
		{"broken events", "{", "", 0, true, []string{"reading the events"}},
		{"list too long", onePass + packagePass, strings.Repeat(line, 4), 0, true, []string{"lists 4 tests; allowed are 3"}},
		{"list without cause", onePass + packagePass, "p.TestB\n", 0, true, []string{"isn't"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if c.known != "" {
				assert.NilError(t, os.WriteFile(path, []byte(c.known), 0o600))
			}
			var out strings.Builder
			err := run(emit(t, c.events, c.status), &out, path)
			assert.Equal(t, err != nil, c.fails, out.String())
			if err != nil {
				fmt.Fprintln(&out, err)
			}
			for _, want := range c.want {
				assert.Assert(t, strings.Contains(out.String(), want), fmt.Sprintf("want %q in:\n%s", want, &out))
			}
		})
	}
}

// emit is a command that prints the events and exits with the status.
func emit(t *testing.T, events string, status int) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "events")
	assert.NilError(t, os.WriteFile(path, []byte(events), 0o600))
	return exec.Command("sh", "-c", fmt.Sprintf("cat %q; exit %d", path, status))
}
