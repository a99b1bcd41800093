package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// event is one line of "go test -json", see "go doc test2json".
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
	Elapsed    float64
}

// testResult is the outcome of one top-level test or of a package as a whole.
type testResult struct {
	// name is the package's import path, a dot and the test; without dot and
	// test where the package failed outside its tests.
	name   string
	action string
	output string
	// unfinished are the tests of a package that started and didn't end.
	unfinished []string
}

// outcome is everything that one run of the tests reported.
type outcome struct {
	tests []testResult
	// crashed lists packages that ended before their tests were done.
	crashed []testResult
}

// Actions of events that end a test or package.
const (
	actionPass = "pass"
	actionFail = "fail"
	actionSkip = "skip"
)

// collector gathers events until their test or package ends.
type collector struct {
	outcome  outcome
	progress io.Writer
	// output by test name, or by package for what no test printed.
	output map[string]*strings.Builder
	// running holds the top-level tests that have started and not ended.
	running map[string]bool
	// failedTests counts the failed top-level tests of each package.
	failedTests map[string]int
}

// readEvents gathers the events and prints each package as it ends.
func readEvents(events io.Reader, progress io.Writer) (outcome, error) {
	collected := collector{
		progress:    progress,
		output:      make(map[string]*strings.Builder),
		running:     make(map[string]bool),
		failedTests: make(map[string]int),
	}
	decoder := json.NewDecoder(events)
	for {
		var next event
		err := decoder.Decode(&next)
		if errors.Is(err, io.EOF) {
			return collected.outcome, nil
		}
		if err != nil {
			return outcome{}, merry.Prepend(err, "reading the events of go test")
		}
		collected.add(next)
	}
}

func (c *collector) add(next event) {
	if next.Package == "" {
		// Compiler output names the build, for example "p [p.test]".
		next.Package, _, _ = strings.Cut(next.ImportPath, " ")
	}
	switch next.Action {
	case "output", "build-output":
		c.print(nameOf(next), next.Output)
	case "run":
		if isTopLevel(next) {
			c.running[nameOf(next)] = true
		}
	case actionPass, actionFail, actionSkip:
		c.end(next)
	}
}

func (c *collector) print(name, text string) {
	if c.output[name] == nil {
		c.output[name] = &strings.Builder{}
	}
	c.output[name].WriteString(text)
}

func (c *collector) printed(name string) string {
	if c.output[name] == nil {
		return ""
	}
	return c.output[name].String()
}

func (c *collector) end(next event) {
	if next.Test == "" {
		c.endPackage(next)
		return
	}
	if !isTopLevel(next) {
		return
	}
	name := nameOf(next)
	delete(c.running, name)
	c.outcome.tests = append(c.outcome.tests, testResult{name: name, action: next.Action, output: c.printed(name)})
	if next.Action == actionFail {
		c.failedTests[next.Package]++
	}
}

func (c *collector) endPackage(next event) {
	fmt.Fprintf(c.progress, "%s %s %.1fs\n", next.Action, shortName(next.Package), next.Elapsed)
	if next.Action != actionFail {
		return
	}
	output := c.printed(next.Package)
	unfinished := c.takeRunning(next.Package)
	if c.failedTests[next.Package] == 0 || hasCrashed(output) || len(unfinished) > 0 {
		c.outcome.crashed = append(c.outcome.crashed, testResult{
			name: next.Package, action: actionFail, output: c.withUnfinished(output, unfinished), unfinished: unfinished,
		})
	}
}

// takeRunning returns the names of the package's tests that have started and not ended,
// sorted, and forgets them.
func (c *collector) takeRunning(name string) []string {
	var running []string
	for test := range c.running {
		if strings.HasPrefix(test, name+".") {
			running = append(running, test)
			delete(c.running, test)
		}
	}
	slices.Sort(running)
	return running
}

// withUnfinished adds what the tests have printed that didn't end: why a process ended in
// their middle stands there, and nowhere else.
func (c *collector) withUnfinished(output string, unfinished []string) string {
	var text strings.Builder
	text.WriteString(output)
	for _, test := range unfinished {
		fmt.Fprintf(&text, "--- unfinished %s\n%s", shortName(test), c.printed(test))
	}
	return text.String()
}

// hasCrashed reports whether the test process ended other than by reporting
// failed tests, which gives exit status 1. Tests may then not have run.
func hasCrashed(output string) bool {
	ends := regexp.MustCompile(`(?m)^exit status (\d+)$`).FindAllStringSubmatch(output, -1)
	for _, end := range ends {
		if end[1] != "1" {
			return true
		}
	}
	return strings.Contains(output, "\nsignal: ") || strings.HasPrefix(output, "signal: ")
}

// nameOf names the top-level test of the event; a subtest belongs to it.
func nameOf(next event) string {
	if next.Test == "" {
		return next.Package
	}
	top, _, _ := strings.Cut(next.Test, "/")
	return next.Package + "." + top
}

func isTopLevel(next event) bool {
	return next.Test != "" && !strings.Contains(next.Test, "/")
}
