// Package logfile parses the key=value logs of several processes and extracts the lines of
// one request, the starts of processes, and the outcomes of callers' requests.
//
// It keeps no state between calls. It depends on the line format of package telemetry and on
// the messages and fields that package transport/relay logs about requests.
package logfile

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// maxLineBytes limits the length of a line. A longer line makes reading the log fail.
const maxLineBytes = 1 << 20

// Field is a key=value pair with the value unquoted.
type Field struct {
	Key, Value string
}

// Line is a parsed log line.
type Line struct {
	Time   time.Time
	Fields []Field
}

// Get returns the value of the key, or an empty string if there is none.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Parse parses a log line and reports whether text is one. It ignores text before the time
// field, such as the prefix of a log collector.
func Parse(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 || start > 0 && text[start-1] != ' ' {
		return Line{}, false
	}
	var line Line
	for rest := strings.TrimSpace(text[start:]); rest != ""; {
		key, after, found := strings.Cut(rest, "=")
		if !found || strings.ContainsRune(key, ' ') {
			return Line{}, false
		}
		value, left, ok := cutValue(after)
		if !ok {
			return Line{}, false
		}
		line.Fields = append(line.Fields, Field{Key: key, Value: value})
		rest = strings.TrimLeft(left, " ")
	}
	at, err := time.Parse(time.RFC3339Nano, line.Get("time"))
	line.Time = at
	return line, err == nil
}

// cutValue splits text after a leading plain or quoted value and unquotes the value.
func cutValue(text string) (value, rest string, ok bool) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		// The encoder also escapes backslashes in unquoted values.
		if plain, err := strconv.Unquote(`"` + value + `"`); err == nil {
			value = plain
		}
		return value, rest, true
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", false
	}
	value, err = strconv.Unquote(quoted)
	return value, text[len(quoted):], err == nil
}

// Excerpt holds the log lines about a request, a program or an instance.
type Excerpt struct {
	// Lines are the lines that have the ID as a value, oldest first.
	Lines []Line
	// Context holds the lines of the same nodes that belong to no request, from the
	// window before the first request arrived to the last of Lines, oldest first.
	Context []Line
}

// FindExcerpt reads the logs and returns the lines about the request, program or instance with the
// ID. The result is empty if no line has the ID. It fails if a log can't be read.
func FindExcerpt(logs []io.Reader, id string, window time.Duration) (Excerpt, error) {
	all, err := readLogs(logs)
	if err != nil {
		return Excerpt{}, err
	}
	var story Excerpt
	nodes := make(map[string]bool)
	for _, l := range all {
		if l.hasValue(id) {
			story.Lines = append(story.Lines, l)
			nodes[l.Get("node")] = true
		}
	}
	if len(story.Lines) == 0 {
		return story, nil
	}
	first, last := story.contextPeriod(window)
	for _, l := range all {
		isContext := nodes[l.Get("node")] && !l.belongsToRequest() && !l.hasValue(id)
		if isContext && !l.Time.Before(first) && !l.Time.After(last) {
			story.Context = append(story.Context, l)
		}
	}
	return story, nil
}

// contextPeriod returns the period from which context lines are taken: from the window before
// the request arrived to its last line.
func (s Excerpt) contextPeriod(window time.Duration) (first, last time.Time) {
	first, last = s.Lines[0].Time, s.Lines[len(s.Lines)-1].Time
	for _, l := range s.Lines {
		if arrived := l.Time.Add(-l.duration("took")); arrived.Before(first) {
			first = arrived
		}
	}
	return first.Add(-window), last
}

// readLogs returns the lines of all logs, sorted by time.
func readLogs(logs []io.Reader) ([]Line, error) {
	var all []Line
	for _, log := range logs {
		lines, err := readLog(log)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return all, nil
}

// readLog returns the lines of one log and skips text that isn't a log line. It leaves out the last
// field of a line without an end, since the value may be cut.
func readLog(log io.Reader) ([]Line, error) {
	var lines []Line
	isCut := false
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	scanner.Split(func(data []byte, atEOF bool) (advance int, token []byte, err error) {
		advance, token, err = bufio.ScanLines(data, atEOF)
		isCut = advance > 0 && data[advance-1] != '\n'
		return advance, token, err
	})
	for scanner.Scan() {
		l, ok := Parse(scanner.Text())
		if ok && isCut {
			l.Fields = l.Fields[:len(l.Fields)-1]
		}
		if ok {
			lines = append(lines, l)
		}
	}
	return lines, merry.Prepend(scanner.Err(), "read log")
}

// hasValue reports whether a field of the line has the value id.
func (l Line) hasValue(id string) bool {
	return slices.ContainsFunc(l.Fields, func(f Field) bool { return f.Value == id })
}

// belongsToRequest reports whether the line has the ID of a request or turn.
func (l Line) belongsToRequest() bool { return l.Get("request") != "" || l.Get("turn") != "" }
