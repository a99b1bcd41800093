package logfile

import (
	"slices"
	"strconv"
	"time"
)

// Log messages of the gateway at the end of a request.
const (
	answeredMessage = "answered"
	failedMessage   = "not answered"
)

// TimeBreakdown is a breakdown of the time that the requests of a program took. Concurrent requests
// are counted separately, so the parts may add up to more than Total.
type TimeBreakdown struct {
	// Answered and Failed are the numbers of answered and failed requests.
	Answered, Failed int
	// Total is the time from the arrival of the first request to the end of the last.
	Total time.Duration
	// Preparing is the time spent on reading request bodies and, for turns, on reserving
	// the budget and reading the previous turns.
	Preparing time.Duration
	// Waiting is the time until the first byte of the responses: connecting, and queueing
	// and prefill at the backend.
	Waiting time.Duration
	// Answering is the time from the first byte to the last event.
	Answering time.Duration
	// Storing is the time spent on storing finished turns.
	Storing time.Duration
	// Failing is the total duration of the failed requests.
	Failing time.Duration
	// Idle is the time without any request in progress: pauses of the client, and
	// requests that aren't in the logs.
	Idle time.Duration
}

// interval is the time from the arrival of a request to its end.
type interval struct{ from, to time.Time }

// TimeBreakdown adds up the requests of the story. It is zero if no request has ended.
func (s Excerpt) TimeBreakdown() TimeBreakdown {
	var times TimeBreakdown
	var requests []interval
	for _, l := range s.Lines {
		message := l.Get("msg")
		if message != answeredMessage && message != failedMessage {
			continue
		}
		took := l.duration("took")
		requests = append(requests, interval{l.Time.Add(-took), l.Time})
		if message == failedMessage {
			times.Failed++
			times.Failing += took
			continue
		}
		times.addAnswered(l, took)
	}
	times.Total, times.Idle = totalAndUncovered(requests)
	return times
}

// addAnswered adds an answered request.
func (t *TimeBreakdown) addAnswered(l Line, took time.Duration) {
	t.Answered++
	prepared := min(l.duration("prepared"), took)
	firstByte := min(max(l.duration("first_byte"), prepared), took)
	stored := min(l.duration("stored"), took-firstByte)
	t.Preparing += prepared
	t.Waiting += firstByte - prepared
	t.Answering += took - firstByte - stored
	t.Storing += stored
}

// totalAndUncovered returns the time from the earliest start to the latest end, and the part
// of it that no interval covers.
func totalAndUncovered(intervals []interval) (total, uncovered time.Duration) {
	if len(intervals) == 0 {
		return 0, 0
	}
	slices.SortFunc(intervals, func(a, b interval) int { return a.from.Compare(b.from) })
	coveredUntil := intervals[0].from
	for _, next := range intervals {
		if gap := next.from.Sub(coveredUntil); gap > 0 {
			uncovered += gap
		}
		if next.to.After(coveredUntil) {
			coveredUntil = next.to
		}
	}
	return coveredUntil.Sub(intervals[0].from), uncovered
}

// duration returns the value of the key in seconds, or zero if it is missing, malformed or
// negative.
func (l Line) duration(key string) time.Duration {
	seconds, err := strconv.ParseFloat(l.Get(key), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
