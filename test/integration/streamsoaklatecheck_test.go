package integration

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/marblering/marblering/coordination/streamorigin"
)

// lateListDelay exceeds the age at which a gateway's list of instances counts as outdated
// and the time for a change of it to arrive.
const lateListDelay = 4 * time.Second

// lateClock is the format of times, as in the logs of the processes.
const lateClock = "15:04:05.000"

// lateProgress is what a client has of a stream.
type lateProgress struct {
	// began is the id of the try that brought the first event.
	began   string
	begunAt time.Time
	// version is that of the first event, and last the number of the last one.
	version  string
	last     int
	received time.Time
}

func (p *lateProgress) hasBegun() bool { return p.last > 0 }

// readEvents reads until the stream ends or breaks, or the client goes away in the middle.
func (s *lateStream) readEvents(try *lateTry, response *http.Response) soakOutcome {
	leavesAfter := soakEvents + 1
	if s.isLate && !s.isLastVisit && s.random.IntN(3) == 0 {
		leavesAfter = 1 + s.random.IntN(soakEvents/2)
	}
	lines := bufio.NewScanner(response.Body)
	id, data := "", ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			id = value
		case "data":
			data = value
		case "":
			// An empty line ends an event; one that breaks off before doesn't count.
			if data != "" {
				s.receive(try, id, data)
			}
			id, data = "", ""
			if len(try.numbers) == leavesAfter {
				try.outcome = "client left"
				return soakBroken
			}
		}
	}
	if lines.Err() != nil {
		try.outcome = "broken"
		return soakBroken
	}
	try.outcome = "whole"
	if s.last != soakEvents {
		s.fault("ended as whole after event %d of %d", s.last, soakEvents)
	}
	return soakWhole
}

// receive checks an event against the version that began the stream and the event before.
func (s *lateStream) receive(try *lateTry, id, data string) {
	text, version, _ := strings.Cut(data, " of ")
	number, err := strconv.Atoi(strings.TrimPrefix(text, "piece "))
	if err != nil || id != strconv.Itoa(number) {
		s.fault("event %q has data %q", id, data)
		return
	}
	if !s.hasBegun() {
		s.began, s.version, s.begunAt = try.id, version, time.Now()
	}
	if version != s.version && !strings.HasSuffix(try.version, version) {
		s.fault("event %d of %s in a stream of %s", number, version, s.version)
	}
	switch {
	case number > s.last+1:
		s.fault("events missing: %d after %d", number, s.last)
	case number == s.last:
		s.fault("event repeated: %d", number)
	case number < s.last:
		s.fault("events going back: %d after %d", number, s.last)
	}
	s.last, s.received = number, time.Now()
	try.numbers = append(try.numbers, number)
	if !strings.HasSuffix(try.version, version) {
		try.version += version
	}
}

// checkGone checks that no instance served at the version for so long that the gateway had to
// know it. The gateway goes by the version on record.
func (s *lateStream) checkGone(try *lateTry) {
	if s.callers.soak.mayDiffer(s.began, s.begunAt) {
		return
	}
	if s.callers.soak.isServed(s.version, try.sent.Add(-lateListDelay)) {
		s.fault("refused by %s with 1020 though an instance has served %s for %v", try.id, s.version, lateListDelay)
	}
}

// checkUnknown checks that the stream lost its record by a fault. Its first event arrived
// after all storage nodes had served, see newLateSoak, and not from an instance whose entry may
// have been that of an earlier process, so that without a fault of a storage node or the store
// in the whole run its record is there for the time of retention.
func (s *lateStream) checkUnknown(try *lateTry) {
	if s.callers.soak.mayDiffer(s.began, s.begunAt) {
		return
	}
	if s.callers.soak.sparesStorage && time.Since(s.begunAt) < streamorigin.Retention {
		s.fault("refused by %s with 1021 though no storage node was disturbed", try.id)
	}
}

// checkGivenUp checks a stream that was tried in vain after the faults were over. It has to go
// on or be refused for good, unless storage nodes were disturbed.
func (s *lateStream) checkGivenUp() {
	if s.callers.soak.sparesStorage && s.isLastVisit {
		s.fault("neither went on nor was refused for good in %v without faults", lateLastPatience)
	}
}

func (s *lateStream) fault(format string, values ...any) {
	s.wrong = append(s.wrong, fmt.Sprintf(format, values...))
}

// report adds what is wrong with the stream to the clients' faults, with all its tries.
func (s *lateStream) report() {
	if len(s.wrong) == 0 {
		return
	}
	var text strings.Builder
	fmt.Fprintf(&text, "stream %s of %s, budget %v, begun at %s: %s", s.began, s.version, s.hasBudget,
		s.begunAt.Format(lateClock), strings.Join(s.wrong, "; "))
	for _, try := range s.tries {
		fmt.Fprintf(&text, "\n  %s at %s: %s, events %v %s, %s", try.id, try.gateway, try.sent.Format(lateClock), try.numbers, try.version, try.outcome)
	}
	s.callers.count(func(total *lateTotal) { total.faults = append(total.faults, text.String()) })
}
