// Package golden holds the forms that operators and their tools rely on to files
// under testdata: the keys of the settings, the templates in deploy/, the metrics of
// each daemon, and the command line. It has tests only. A change of a form fails
// here first; where the change is meant, this writes the files anew:
//
//	go test ./test/golden -update
package golden
