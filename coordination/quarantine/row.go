package quarantine

import (
	"slices"
	"time"
)

const (
	// maxEnds is the number of ends that are kept of a request. Those of other clients that
	// ask the same are among them.
	maxEnds = 16
	// reportSkew is how much later than the end itself a report may place it.
	reportSkew = 5 * time.Millisecond
)

// end is the end of the exchange of a try after which its instance has ended, or may have.
type end struct {
	send        SendID
	instance    string
	sent, ended time.Time
	// ran is until when the instance is known to have run, seen when it was seen to have ended;
	// in the far future for one that may still run.
	ran, seen time.Time
}

// endOf returns the end of a try that a message told at the time.
func endOf(try Try, at time.Time) end {
	ended := at.Add(-try.EndedAgo)
	return end{
		send: try.Send, instance: try.Instance, sent: at.Add(-try.SentAgo), ended: ended,
		ran: ended.Add(try.RanAfter), seen: ended.Add(try.SeenAfter),
	}
}

// isSame reports whether both are the end of one send. Nodes of earlier builds don't tell the
// send.
func (e end) isSame(other end) bool {
	if e.send != 0 && other.send != 0 {
		return e.send == other.send
	}
	return e.instance == other.instance
}

// longestRow returns the longest row of tries of which each was sent after the end of the one
// before, and of which no two may have been at the same process: those that count as crashes. A
// client makes its tries one after the other, so others belong to other clients that ask the
// same. The order in which the ends are reported doesn't matter.
func longestRow(ends []end) (row []end) { return rowOf(ends, end.mayBeAtProcessOf) }

// longestSuspectedRow is longestRow with tries of which no two are known to have been at the same
// process: as many processes may have ended.
func longestSuspectedRow(ends []end) (row []end) { return rowOf(ends, end.isAtProcessOf) }

func rowOf(ends []end, isAtSame func(later, earlier end) bool) (row []end) {
	ordered := slices.Clone(ends)
	slices.SortStableFunc(ordered, func(a, b end) int { return a.ended.Compare(b.ended) })
	for _, current := range ordered {
		if len(row) > 0 && current.sent.Before(row[len(row)-1].ended.Add(-reportSkew)) {
			continue
		}
		earlier := slices.IndexFunc(row, func(other end) bool { return isAtSame(current, other) })
		if earlier < 0 {
			row = append(row, current)
			continue
		}
		// Either both were at one process, which had ended when this end was seen, or the
		// earlier one had ended before.
		row[earlier].limit(current)
	}
	return row
}

// limit takes the earlier times of the process from another end of it.
func (e *end) limit(other end) {
	if other.ran.Before(e.ran) {
		e.ran = other.ran
	}
	if other.seen.Before(e.seen) {
		e.seen = other.seen
	}
}

// mayBeAtProcessOf reports whether the try may have been at the process that an earlier one was
// at, isAtProcessOf whether it is known to have been. Processes of an instance can't always be
// told apart by its name.
func (e end) mayBeAtProcessOf(earlier end) bool {
	return e.instance == earlier.instance && e.sent.Before(earlier.seen)
}

func (e end) isAtProcessOf(earlier end) bool {
	return e.instance == earlier.instance && e.sent.Before(earlier.ran)
}

// makeRoomFor drops the first end that isn't part of the longest row if there are maxEnds, so
// that later tries still add to the row.
func makeRoomFor(ends []end) []end {
	if len(ends) < maxEnds {
		return ends
	}
	row := longestRow(ends)
	for index, current := range ends {
		if !slices.ContainsFunc(row, current.isSame) {
			return slices.Delete(ends, index, index+1)
		}
	}
	return ends[1:]
}

// instancesOf returns the instances that have ended.
func instancesOf(ends []end) []string {
	instances := make([]string, 0, len(ends))
	for _, current := range ends {
		instances = append(instances, current.instance)
	}
	return instances
}
