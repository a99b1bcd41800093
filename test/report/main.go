// Command report reads the events of "go test -json" from its standard input,
// prints the packages and what failed, holds the failures against the list of
// known failing tests, and ends with a line "N passed, N failed". It exits
// with 1 if anything failed that isn't on the list, or if the list is wrong.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
)

func main() {
	knownRed := flag.String("known-red", "KNOWN-RED.txt", "list of known failing tests; may be absent")
	status := flag.Int("status", 0, "exit code of go test")
	flag.Parse()
	os.Exit(run(os.Stdin, os.Stdout, *knownRed, *status))
}

// run prints the report and returns the exit code.
func run(events io.Reader, out io.Writer, knownRedPath string, testStatus int) int {
	outcome, err := readEvents(events)
	if err != nil {
		fmt.Fprintln(out, "report:", err)
		return 1
	}
	known, err := readKnownRed(knownRedPath)
	if err != nil {
		fmt.Fprintln(out, "report:", err)
		return 1
	}
	verdict := judge(outcome, known, testStatus)
	writeReport(out, outcome, verdict)
	if len(verdict.faults) > 0 {
		return 1
	}
	return 0
}
