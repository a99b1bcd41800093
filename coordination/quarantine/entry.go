package quarantine

import (
	"slices"
	"time"
)

// entry is a request with the ends of instances under it and the sends without an outcome. It
// has none once a try was completed.
type entry struct {
	ends []end
	// crashes is the number of instances in the longest row.
	crashes int
	pending pendingSends
	// isResolved is set if there was no completed try since the last send was pending.
	isResolved bool
	// clearedAt is when a try was last completed; zero for never.
	clearedAt time.Time
	// expires is when the ends, or that there was a completed try, are forgotten.
	expires time.Time
	// change is the number of the entry's last change, made at changedAt.
	change    uint64
	changedAt time.Time
	// urgent is the number of the change with which followers had to know of the request at
	// once; zero while they needn't.
	urgent uint64
}

// record returns the record of the entry. Crashes count until they expire, sends until then
// each.
func (e *entry) record(fingerprint Fingerprint, now time.Time) Record {
	record := Record{Fingerprint: fingerprint, IsResolved: e.isResolved}
	pending := e.pending.unexpired(now)
	if now.Before(e.expires) {
		record.Crashes = e.crashes
		record.Remaining = e.expires.Sub(now)
	}
	record.Suspected = e.suspected(record.Crashes, pending)
	record.Remaining = max(record.Remaining, pending.remaining(now))
	return record
}

// answer returns the record of the entry with the tries that count, so that a gateway can count
// those together that different nodes know of.
func (e *entry) answer(fingerprint Fingerprint, now time.Time) Record {
	record := e.record(fingerprint, now)
	if now.Before(e.expires) {
		record.Tries = appendTries(record.Tries, e.ends, true, now)
	}
	record.Tries = appendTries(record.Tries, e.pending.unexpired(now).ends(), false, now)
	if !e.clearedAt.IsZero() {
		record.ClearedAgo = now.Sub(e.clearedAt)
	}
	return record
}

func appendTries(tries []Try, ends []end, isCrash bool, now time.Time) []Try {
	for _, each := range ends {
		tries = append(tries, Try{
			Send: each.send, Instance: each.instance, SentAgo: now.Sub(each.sent), EndedAgo: now.Sub(each.ended),
			RanAfter: each.ran.Sub(each.ended), SeenAfter: each.seen.Sub(each.ended), IsCrash: isCrash,
		})
	}
	return tries
}

// suspected returns the number of crashes and pending sends in the longest row of both.
func (e *entry) suspected(crashes int, pending pendingSends) int {
	if crashes == 0 {
		return len(longestSuspectedRow(pending.ends()))
	}
	suspected := max(crashes, len(longestSuspectedRow(slices.Concat(e.ends, pending.ends()))))
	// The ends may be fewer than the crashes, which other nodes have counted.
	return max(suspected, crashes+len(longestSuspectedRow(pending.after(e.lastEnd()))))
}

// lastEnd returns when the last instance ended; zero if none has.
func (e *entry) lastEnd() (last time.Time) {
	for _, current := range e.ends {
		if current.ended.After(last) {
			last = current.ended
		}
	}
	return last
}

// lastExpiry returns when the last crash or send of the entry is forgotten and followers have
// been told of its last change.
func (e *entry) lastExpiry() time.Time {
	last := e.changedAt.Add(toldRetention)
	if e.expires.After(last) {
		last = e.expires
	}
	for _, send := range e.pending {
		if send.expires.After(last) {
			last = send.expires
		}
	}
	return last
}

// isSuspected reports whether the entry has crashes or sends.
func (e *entry) isSuspected() bool { return e.crashes > 0 || len(e.pending) > 0 }

// isKept reports whether something of the entry hasn't expired.
func (e *entry) isKept(now time.Time) bool {
	return now.Before(e.expires) || len(e.pending.unexpired(now)) > 0
}

// forgetExpired drops crashes and sends that have expired.
func (e *entry) forgetExpired(now time.Time) {
	if !now.Before(e.expires) {
		e.ends, e.crashes = nil, 0
	}
	e.pending = e.pending.unexpired(now)
}

// isUrgent reports whether all gateways have to know of the request at once. A single send
// without an outcome isn't urgent: most often its response was lost, and storage nodes count it
// with the next one anyway.
func (e *entry) isUrgent() bool {
	return e.crashes > 0 || len(longestSuspectedRow(e.pending.closed())) > 1
}
