// Package logfile reads the key=value logs of several processes back and collects, in the
// order of time, what they say of one request, of the starts of processes, and of the
// tries of callers.
//
// It keeps nothing between calls. It relies on the form of the lines that package
// telemetry writes, and on the messages and fields of the lines about requests, which
// package transport/relay writes.
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

// maxLineBytes bounds one line; processes write far shorter ones (chosen, not measured).
const maxLineBytes = 1 << 20

// Field is one key=value pair, with the value unquoted.
type Field struct {
	Key, Value string
}

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Fields []Field
}

// Get returns the value of the key, empty where there is none.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Parse reads one line, and tells whether it is one. What stands before its time is left
// out, so that logs may have passed through a collector that writes a prefix.
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

// cutValue takes a plain or quoted value off the text.
func cutValue(text string) (value, rest string, ok bool) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		// The encoder escapes backslashes in plain values as well.
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

// Story is what logs say of one request.
type Story struct {
	// Lines name the request, oldest first.
	Lines []Line
	// Context are other decisions of the same nodes within the time of the
	// request and the window before it, oldest first.
	Context []Line
}

// Find reads the logs and returns the story of the request, program or instance with the
// id; an empty one where no line names it. Lines of other requests aren't part of it. It
// fails where a log can't be read.
func Find(logs []io.Reader, id string, window time.Duration) (Story, error) {
	all, err := readAll(logs)
	if err != nil {
		return Story{}, err
	}
	var story Story
	nodes := make(map[string]bool)
	for _, l := range all {
		if l.names(id) {
			story.Lines = append(story.Lines, l)
			nodes[l.Get("node")] = true
		}
	}
	if len(story.Lines) == 0 {
		return story, nil
	}
	first, last := story.span(window)
	for _, l := range all {
		isBeside := nodes[l.Get("node")] && !l.isOfRequest() && !l.names(id)
		if isBeside && !l.Time.Before(first) && !l.Time.After(last) {
			story.Context = append(story.Context, l)
		}
	}
	return story, nil
}

// span is the time in which other decisions may have mattered: from the window
// before the request arrived to its last line.
func (s Story) span(window time.Duration) (first, last time.Time) {
	first, last = s.Lines[0].Time, s.Lines[len(s.Lines)-1].Time
	for _, l := range s.Lines {
		if arrived := l.Time.Add(-l.duration("took")); arrived.Before(first) {
			first = arrived
		}
	}
	return first.Add(-window), last
}

// readAll returns the lines of all logs in the order of time.
func readAll(logs []io.Reader) ([]Line, error) {
	var all []Line
	for _, log := range logs {
		lines, err := read(log)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return all, nil
}

// read returns the lines of one log; what isn't such a line is passed over.
func read(log io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := Parse(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, merry.Prepend(scanner.Err(), "read a log")
}

// names tells whether one of the line's values is the id.
func (l Line) names(id string) bool {
	return slices.ContainsFunc(l.Fields, func(f Field) bool { return f.Value == id })
}

// isOfRequest tells whether the line belongs to some request.
func (l Line) isOfRequest() bool { return l.Get("request") != "" || l.Get("turn") != "" }
