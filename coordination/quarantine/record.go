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
	// Instance identifies the process that has ended.
	Instance string
	// SentAgo and EndedAgo are the times since the request was sent to the instance and
	// since the instance ended. They are durations, since the clocks of nodes differ.
	SentAgo, EndedAgo time.Duration
	// Known is the number of crashes that the gateway knew of when it sent the request. It
	// isn't reported: storage nodes count for themselves.
	Known int
	// Row is the number of crashes in a row up to this one, as it was counted when the crash
	// was first reported; zero then.
	Row int
}

// Record is what a table has of a request.
type Record struct {
	Fingerprint Fingerprint
	// Crashes is the number of instances that have crashed under tries in a row. It is zero
	// for a request that was forgotten since a try was completed.
	Crashes int
	// Remaining is how long the record is kept.
	Remaining time.Duration
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
