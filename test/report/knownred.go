package main

import (
	"errors"
	"io/fs"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"
)

// knownRedLimit is how many tests may be listed at once.
const knownRedLimit = 3

// knownRed is one listed test.
type knownRed struct {
	// test is the package's path in the module, a dot and the test's name.
	test  string
	cause string
	issue string
}

// readKnownRed reads the list; an absent file is an empty list. Each line is
// "package/path.TestName, cause, issue".
func readKnownRed(path string) ([]knownRed, error) {
	content, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, merry.Prepend(err, "reading the known failing tests")
	}
	var listed []knownRed
	for line := range strings.Lines(string(content)) {
		if strings.TrimSpace(line) == "" {
			continue
		}
		entry, err := parseKnownRed(strings.TrimSpace(line))
		if err != nil {
			return nil, merry.Prependf(err, "%s", path)
		}
		listed = append(listed, entry)
	}
	if len(listed) > knownRedLimit {
		return nil, merry.Errorf("%s lists %d tests; allowed are %d", path, len(listed), knownRedLimit)
	}
	return listed, nil
}

func parseKnownRed(line string) (knownRed, error) {
	test, rest, _ := strings.Cut(line, ",")
	split := strings.LastIndex(rest, ",")
	if split < 0 {
		return knownRed{}, merry.Errorf("line %q isn't \"package/path.TestName, cause, issue\"", line)
	}
	entry := knownRed{
		test:  strings.TrimSpace(test),
		cause: strings.TrimSpace(rest[:split]),
		issue: strings.TrimSpace(rest[split+1:]),
	}
	if entry.test == "" || entry.cause == "" || entry.issue == "" {
		return knownRed{}, merry.Errorf("line %q lacks test, cause or issue", line)
	}
	return entry, nil
}
