package main

import (
	"fmt"
	"io"
	"regexp"
	"strings"
)

// modulePrefix is cut from package names in the report and the list.
const modulePrefix = "github.com/marblering/marblering/"

// verdict says how a run counts.
type verdict struct {
	passed  int
	failed  int
	skipped []string
	// faults are the reasons for which the run as a whole fails.
	faults []string
	// notes are about listed tests.
	notes []string
}

// judge holds the outcome against the list of known failing tests.
func judge(o outcome, known []knownRed, testStatus int) verdict {
	var v verdict
	expected := make(map[string]knownRed)
	for _, entry := range known {
		expected[entry.test] = entry
	}
	for _, result := range o.tests {
		name := shortName(result.name)
		entry, isListed := expected[name]
		delete(expected, name)
		v.count(name, result.action, entry, isListed)
	}
	for _, result := range o.crashed {
		v.failed++
		v.faults = append(v.faults, shortName(result.name)+" failed outside its tests, or some didn't finish"+listed(result.unfinished))
	}
	for name := range expected {
		v.faults = append(v.faults, "KNOWN-RED.txt lists "+name+", which wasn't run")
	}
	if testStatus != 0 && v.failed == 0 {
		v.faults = append(v.faults, fmt.Sprintf("go test exited with %d though no test failed", testStatus))
	}
	if v.passed+v.failed == 0 {
		v.faults = append(v.faults, "no test was run")
	}
	return v
}

// listed returns the tests by name behind a colon, and nothing for none.
func listed(tests []string) string {
	if len(tests) == 0 {
		return ""
	}
	names := make([]string, 0, len(tests))
	for _, test := range tests {
		names = append(names, shortName(test))
	}
	return ": " + strings.Join(names, ", ")
}

func (v *verdict) count(name, action string, entry knownRed, isListed bool) {
	switch action {
	case actionSkip:
		v.skipped = append(v.skipped, name)
		if isListed {
			v.faults = append(v.faults, "KNOWN-RED.txt lists "+name+", which was skipped")
		}
	case actionPass:
		v.passed++
		if isListed {
			v.notes = append(v.notes, "passes, strike it off KNOWN-RED.txt: "+name)
		}
	case actionFail:
		v.failed++
		if isListed {
			v.notes = append(v.notes, fmt.Sprintf("known failing: %s: %s (%s)", name, entry.cause, entry.issue))
			return
		}
		v.faults = append(v.faults, name+" failed")
	}
}

func writeReport(out io.Writer, o outcome, v verdict) {
	for _, result := range append(o.tests, o.crashed...) {
		if result.action == actionFail {
			fmt.Fprintf(out, "--- output of %s\n%s", shortName(result.name), result.output)
		}
	}
	for _, result := range o.tests {
		if result.action == actionFail {
			writeLines(out, "failed at: ", assertions(result.output))
		}
	}
	writeLines(out, "skipped: ", v.skipped)
	writeLines(out, "", v.notes)
	writeLines(out, "FAULT: ", v.faults)
	fmt.Fprintf(out, "%d passed, %d failed\n", v.passed, v.failed)
}

// assertions returns the lines in which a test says where and why it failed.
// Logs of its processes follow them in the output and may be long, so that the
// end of a report alone would hide them.
func assertions(output string) []string {
	var found []string
	for line := range strings.Lines(output) {
		if assertion.MatchString(line) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// assertion matches a line that names a position in a test file, as package
// testing writes it.
var assertion = regexp.MustCompile(`^ +\w+_test\.go:\d+: `)

func writeLines(out io.Writer, prefix string, lines []string) {
	for _, line := range lines {
		fmt.Fprintln(out, prefix+line)
	}
}

func shortName(name string) string { return strings.TrimPrefix(name, modulePrefix) }
