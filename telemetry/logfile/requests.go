package logfile

import (
	"cmp"
	"io"
	"slices"
	"time"
)

// retryWindow is the time after a failed request within which the next request of the same
// program and route counts as its retry. It exceeds any Retry-After and request timeout.
const retryWindow = 5 * time.Second

// WaitCause is what a gateway waited for before it ended a request.
type WaitCause string

// Causes of waiting, as printed by the explain command.
const (
	// WaitNone: the request was answered, or refused at once.
	WaitNone WaitCause = ""
	// WaitHistoryAndBudget: reading the previous turns and reserving the budget.
	WaitHistoryAndBudget WaitCause = "history and budget"
	// WaitConnect: connecting to backends, none of which could be reached.
	WaitConnect WaitCause = "connecting"
	// WaitBackend: the request had been sent to a backend.
	WaitBackend WaitCause = "back end"
)

// minWait is the shortest time that counts as waiting.
const minWait = 10 * time.Millisecond

// RequestSummary sums up the requests of one route with the same outcome and wait cause.
type RequestSummary struct {
	Route string
	// Status and Code are the HTTP status and the result code of the response.
	Status, Code string
	WaitCause    WaitCause
	Count        int
	// TotalTime is the total duration of the requests, Longest that of the longest one.
	TotalTime, Longest time.Duration
	// RetriesAnswered, RetriesFailed and NotRetried count the failed requests by the outcome of
	// the next request of the same program and route: answered, failed, or none within
	// retryWindow. Concurrent requests of one program aren't told apart.
	RetriesAnswered, RetriesFailed, NotRetried int
}

// summaryKey identifies the RequestSummary to which a request belongs.
type summaryKey struct {
	route, status, code string
	waitCause           WaitCause
}

// SummarizeRequests reads the logs of gateways and summarizes the outcomes of the callers'
// requests by route, the most frequent outcome first. Gateways limit the rate of their log
// lines, so answered requests may be missing under load. It fails if a log can't be read.
func SummarizeRequests(logs []io.Reader) ([]RequestSummary, error) {
	all, err := readLogs(logs)
	if err != nil {
		return nil, err
	}
	summaries := make(map[summaryKey]*RequestSummary)
	nextRequests := make(map[[2]string]Line)
	// Iterates backward, so that the next request of each program is known.
	for _, l := range slices.Backward(all) {
		if !l.endsRequest() {
			continue
		}
		key := summaryKey{route: l.Get("route"), status: l.Get("status"), code: l.Get("code"), waitCause: l.waitCause()}
		if summaries[key] == nil {
			summaries[key] = &RequestSummary{Route: key.route, Status: key.status, Code: key.code, WaitCause: key.waitCause}
		}
		programRoute := [2]string{l.Get("key"), l.Get("route")}
		next, hasNext := nextRequests[programRoute]
		summaries[key].addRequest(l, next, hasNext && programRoute[0] != "")
		nextRequests[programRoute] = l
	}
	return sortSummaries(summaries), nil
}

// sortSummaries returns the summaries sorted by route, then by descending count.
func sortSummaries(summaries map[summaryKey]*RequestSummary) []RequestSummary {
	sorted := make([]RequestSummary, 0, len(summaries))
	for _, summary := range summaries {
		sorted = append(sorted, *summary)
	}
	slices.SortFunc(sorted, func(a, b RequestSummary) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Count, a.Count),
			cmp.Compare(a.Code, b.Code), cmp.Compare(a.WaitCause, b.WaitCause))
	})
	return sorted
}

// addRequest adds a request. If hasNext is set, next is the following request of the same
// program and route.
func (s *RequestSummary) addRequest(l, next Line, hasNext bool) {
	took := l.duration("took")
	s.Count++
	s.TotalTime += took
	s.Longest = max(s.Longest, took)
	if l.isAnswered() {
		return
	}
	switch {
	case !hasNext || next.Time.Sub(l.Time) > retryWindow:
		s.NotRetried++
	case next.isAnswered():
		s.RetriesAnswered++
	default:
		s.RetriesFailed++
	}
}

// endsRequest reports whether the line is the last one of a caller's request.
func (l Line) endsRequest() bool {
	message := l.Get("msg")
	return message == answeredMessage || message == failedMessage
}

// isAnswered reports whether the line says that the request was answered.
func (l Line) isAnswered() bool { return l.Get("msg") == answeredMessage }

// waitCause derives the cause of waiting from the durations and the number of sends in the
// line.
func (l Line) waitCause() WaitCause {
	switch took := l.duration("took"); {
	case l.isAnswered() || took < minWait:
		return WaitNone
	case l.Get("sends") != "0":
		return WaitBackend
	case took-l.duration("prepared") < minWait:
		return WaitHistoryAndBudget
	}
	return WaitConnect
}
