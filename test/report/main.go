// Command report runs "go test -json" with the given arguments, prints each
// package as it ends and then what failed, holds the failures against the list
// of known failing tests, and ends with a line "N passed, N failed". It exits
// with 1 if anything failed that isn't on the list, or if the list is wrong.
//
//	report [-known-red FILE] go test -json [ARGUMENT...]
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"

	"github.com/ansel1/merry/v2"
)

// errFaults means that the report, which is already printed, lists faults.
var errFaults = merry.Sentinel("the tests have faults")

func main() {
	knownRed := flag.String("known-red", "KNOWN-RED.txt", "list of known failing tests; may be absent")
	flag.Parse()
	if flag.NArg() == 0 {
		flag.Usage()
		os.Exit(1)
	}
	command := exec.Command(flag.Arg(0), flag.Args()[1:]...)
	command.Stderr = os.Stderr
	err := run(command, os.Stdout, *knownRed)
	if err == nil {
		return
	}
	if !errors.Is(err, errFaults) {
		fmt.Fprintln(os.Stderr, "report:", err)
	}
	os.Exit(1)
}

// run runs the tests and prints the report. It returns an error unless every
// test passed or is listed.
func run(command *exec.Cmd, out io.Writer, knownRedPath string) error {
	known, err := readKnownRed(knownRedPath)
	if err != nil {
		return err
	}
	events, err := command.StdoutPipe()
	if err != nil {
		return merry.Prepend(err, "opening the output of the tests")
	}
	if err := command.Start(); err != nil {
		return merry.Prepend(err, "starting the tests")
	}
	outcome, readErr := readEvents(events, out)
	status, err := exitStatus(command.Wait())
	if err := errors.Join(readErr, err); err != nil {
		return err
	}
	return report(out, outcome, known, status)
}

// report prints everything but the packages, which were printed as they ended.
func report(out io.Writer, o outcome, known []knownRed, testStatus int) error {
	verdict := judge(o, known, testStatus)
	writeReport(out, o, verdict)
	if len(verdict.faults) > 0 {
		return errFaults
	}
	return nil
}

// exitStatus turns what Wait returned into the exit code of the process.
func exitStatus(err error) (int, error) {
	var exited *exec.ExitError
	if errors.As(err, &exited) {
		return exited.ExitCode(), nil
	}
	return 0, err
}
