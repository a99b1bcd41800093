package logfile

import (
	"io"
	"slices"
	"time"
)

// startedMessage is the first log message of a process.
const startedMessage = "started"

// milestones returns the messages that mark the progress of a start.
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
	// Milestones holds the milestones in the order of time, each once.
	Milestones []Milestone
}

// Milestone is the first occurrence of a message after a start.
type Milestone struct {
	Message string
	// After is the time since the start.
	After time.Duration
}

// FindStarts returns the process starts in the logs, oldest first, with the milestones that
// each process reached. It fails if a log can't be read.
func FindStarts(logs []io.Reader) ([]Start, error) {
	all, err := readLogs(logs)
	if err != nil {
		return nil, err
	}
	var starts []Start
	latest := make(map[string]int)
	for _, l := range all {
		node, message := l.Get("node"), l.Get("msg")
		if message == startedMessage {
			latest[node] = len(starts)
			starts = append(starts, Start{Node: node, At: l.Time})
			continue
		}
		if index, found := latest[node]; found && slices.Contains(milestones(), message) {
			starts[index].addMilestone(message, l.Time)
		}
	}
	return starts, nil
}

// addMilestone records a milestone unless it was reached before.
func (s *Start) addMilestone(message string, at time.Time) {
	isRecorded := slices.ContainsFunc(s.Milestones, func(reached Milestone) bool { return reached.Message == message })
	if !isRecorded {
		s.Milestones = append(s.Milestones, Milestone{Message: message, After: at.Sub(s.At)})
	}
}
