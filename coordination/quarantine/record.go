package quarantine

import "time"

// MaxCrashes is the number of instances that may crash under a request. After that it isn't
// sent to another one.
const MaxCrashes = 3

// FollowerGrace is how long the answer to a report may wait until all gateways know of the
// crash. Only one that is slow or cut off takes so long.
const FollowerGrace = 100 * time.Millisecond

const (
	// suspectLifetime is how long a request is remembered after its last crash. All tries
	// of a client are over by then.
	suspectLifetime = time.Minute
	// quarantineLifetime is the same for a request that isn't sent any more.
	quarantineLifetime = 10 * time.Minute
)

// Crash is the end of an instance that was working on a request.
type Crash struct {
	Fingerprint Fingerprint
	// Send identifies the send under which the instance ended; zero if unknown.
	Send SendID
	// Instance identifies the process that has ended.
	Instance string
	// SentAgo and EndedAgo are the times since the request was sent to the instance and
	// since the exchange ended. They are durations, since the clocks of nodes differ.
	SentAgo, EndedAgo time.Duration
	// RanAfter is how long after the exchange the instance was last seen to run, SeenAfter how
	// long after it was seen to have ended.
	RanAfter, SeenAfter time.Duration
	// Known is the number of crashes that the gateway knew of when it sent the request. It
	// isn't reported: storage nodes count for themselves.
	Known int
	// Row is the number of crashes in a row up to this one, as it was counted when the crash
	// was first reported; zero then.
	Row int
}

// try returns the try under which the instance has ended.
func (c Crash) try() Try {
	return Try{
		Send: c.Send, Instance: c.Instance, SentAgo: c.SentAgo, EndedAgo: c.EndedAgo,
		RanAfter: c.RanAfter, SeenAfter: c.SeenAfter, IsCrash: true,
	}
}

// SendID identifies one send of a request among those of all gateways.
type SendID uint64

// Send is a request that is sent to an instance, or was sent there and nothing has shown what
// became of it.
type Send struct {
	Fingerprint Fingerprint
	ID          SendID
	// Instance identifies the process that it was sent to.
	Instance string
	// SentAgo and EndedAgo are the times since it was sent and since its exchange ended.
	SentAgo, EndedAgo time.Duration
	// IsOpen is set while the exchange goes on. EndedAgo is zero then.
	IsOpen bool
	// IsBroken is set if the instance has ended with the exchange if it has ended.
	IsBroken bool
	// MayHaveEnded is set once something shows that the instance may have ended, RanAfter after
	// the exchange at the earliest.
	MayHaveEnded bool
	RanAfter     time.Duration
	// Lifetime is how long the send counts unless its outcome becomes known; for an open one,
	// how long the exchange may go on.
	Lifetime time.Duration
	// Gateway is the gateway that made it. The client sets it.
	Gateway FollowerID
}

// Suspicion is what is known of the earlier sends of a request.
type Suspicion struct {
	// Crashes is the number of instances that have crashed under tries in a row.
	Crashes int
	// Suspected also counts the sends in a row with them whose outcome isn't known.
	Suspected int
}

// Most returns the greater of both counts of each.
func (s Suspicion) Most(other Suspicion) Suspicion {
	return Suspicion{Crashes: max(s.Crashes, other.Crashes), Suspected: max(s.Suspected, other.Suspected)}
}

// Record is what a table has of a request.
type Record struct {
	Fingerprint Fingerprint
	Suspicion
	// IsResolved is set if there are no crashes since the outcome of each send is known. If
	// it isn't set and there are neither crashes nor sends, the request was forgotten since
	// a try was completed.
	IsResolved bool
	// Remaining is how long the record is kept.
	Remaining time.Duration
	// Tries are those that count, and ClearedAgo is the time since a try was last completed;
	// zero for never. Both are set in answers, not in changes.
	Tries      []Try
	ClearedAgo time.Duration
}

// Try is a send under which an instance has ended, or may have.
type Try struct {
	Send     SendID
	Instance string
	// SentAgo and EndedAgo are the times since it was sent and since its exchange ended.
	// EndedAgo is negative while the exchange goes on.
	SentAgo, EndedAgo time.Duration
	// RanAfter is how long after the exchange the instance was last seen to run, SeenAfter how
	// long after it was seen to have ended; an hour or more for one that may still run.
	RanAfter, SeenAfter time.Duration
	IsCrash             bool
}

// IsQuarantined reports whether a request under which as many instances have crashed may
// not be sent any more.
func IsQuarantined(crashes int) bool { return crashes >= MaxCrashes }

// lifetime returns how long a record with the number of crashes is kept.
func lifetime(crashes int) time.Duration {
	if IsQuarantined(crashes) {
		return quarantineLifetime
	}
	return suspectLifetime
}

// Cursor is a position in the changes of a table. The zero value is before all of them.
type Cursor struct {
	// Table identifies the table: a restarted node has another one.
	Table uint64
	// Change is the number of the last change that was read.
	Change uint64
}

// FollowerID identifies a gateway that follows a table.
type FollowerID uint64

// Changes are the records that changed after a cursor.
type Changes struct {
	// IsFull is set if these are all records of the table, because the cursor was of
	// another one.
	IsFull  bool
	Records []Record
	// Next is the cursor after these changes.
	Next Cursor
}
