package logfile

import (
	"io"
	"slices"
	"time"
)

// startedMessage is the first line of a process.
const startedMessage = "started"

// milestones are the lines that a process logs when it has what it depends on.
func milestones() []string {
	return []string{
		"mirrored objects taken", "configuration in force", "instances changed", "replica sets learned",
		"shard opened", answeredMessage,
	}
}

// Start is one start of a process.
type Start struct {
	Node string
	At   time.Time
	// Reached are the milestones in the order of time, each once.
	Reached []Milestone
}

// Milestone is when something was there for the first time after a start.
type Milestone struct {
	Message string
	// After is counted from the start's line.
	After time.Duration
}

// Starts finds the starts of processes in the logs, oldest first, and when each process
// had what it depends on. It fails where a log can't be read.
func Starts(logs []io.Reader) ([]Start, error) {
	all, err := readAll(logs)
	if err != nil {
		return nil, err
	}
	var starts []Start
	newest := make(map[string]int)
	for _, l := range all {
		node, message := l.Get("node"), l.Get("msg")
		if message == startedMessage {
			newest[node] = len(starts)
			starts = append(starts, Start{Node: node, At: l.Time})
			continue
		}
		if index, found := newest[node]; found && slices.Contains(milestones(), message) {
			starts[index].reach(message, l.Time)
		}
	}
	return starts, nil
}

// reach notes a milestone, unless it was reached before.
func (s *Start) reach(message string, at time.Time) {
	isKnown := slices.ContainsFunc(s.Reached, func(known Milestone) bool { return known.Message == message })
	if !isKnown {
		s.Reached = append(s.Reached, Milestone{Message: message, After: at.Sub(s.At)})
	}
}
