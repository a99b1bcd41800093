package logfile

import (
	"slices"
	"strconv"
	"time"
)

// Messages of the gateway that end a request.
const (
	answeredMessage = "answered"
	failedMessage   = "not answered"
)

// Times say where the time of a program went, by the lines of its requests. Requests that
// ran side by side count one by one, so that the parts may come to more than the whole.
type Times struct {
	// Answered and Failed are how many of its requests were and weren't answered.
	Answered, Failed int
	// Whole is the time from the arrival of the first request to the end of the
	// last.
	Whole time.Duration
	// Preparing went to reading the bodies, and for turns to reserving the budget and
	// reading the turns before.
	Preparing time.Duration
	// Waiting is the time until the first byte of the answers: connection, queue
	// and prefill at the back end.
	Waiting time.Duration
	// Answering is the time from the first byte to the last event.
	Answering time.Duration
	// Storing went to keeping ended turns.
	Storing time.Duration
	// Failing is the time of the requests that weren't answered.
	Failing time.Duration
	// Between is the time in which no request was under way here: pauses of the
	// client, and requests that the lines don't tell of.
	Between time.Duration
}

// interval is the time of one request.
type interval struct{ from, to time.Time }

// Times adds up the requests of the story. It is empty where none has ended.
func (s Story) Times() Times {
	var times Times
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
		times.add(l, took)
	}
	times.Whole, times.Between = span(requests)
	return times
}

// add counts one answered request.
func (t *Times) add(l Line, took time.Duration) {
	t.Answered++
	prepared := min(l.duration("prepared"), took)
	firstByte := min(max(l.duration("first_byte"), prepared), took)
	stored := min(l.duration("stored"), took-firstByte)
	t.Preparing += prepared
	t.Waiting += firstByte - prepared
	t.Answering += took - firstByte - stored
	t.Storing += stored
}

// span returns the time from the first beginning to the last end, and how much of
// it no interval covers.
func span(intervals []interval) (whole, uncovered time.Duration) {
	if len(intervals) == 0 {
		return 0, 0
	}
	slices.SortFunc(intervals, func(a, b interval) int { return a.from.Compare(b.from) })
	covered := intervals[0].from
	for _, next := range intervals {
		if gap := next.from.Sub(covered); gap > 0 {
			uncovered += gap
		}
		if next.to.After(covered) {
			covered = next.to
		}
	}
	return covered.Sub(intervals[0].from), uncovered
}

// duration reads a number of seconds; zero where there is none.
func (l Line) duration(key string) time.Duration {
	seconds, err := strconv.ParseFloat(l.Get(key), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
