package streamorigin

import "time"

// Retention is how long a storage node keeps a record while it has room.
const Retention = 10 * time.Minute

// Origin is where a stream began: it may be continued only there. The zero value stands for an
// uncertain origin: the stream can't be continued.
type Origin struct {
	Service string
	// Version is the version of the instance's software. Versions have no order.
	Version string
}

// Key identifies a stream.
type Key struct {
	// Request is the id of the client's request that began the stream.
	Request string
	// Program is the program that the request belongs to; empty for none.
	Program string
	// Tenant is the owner of the stream; empty if there are no tenants.
	Tenant string
}

// location returns the name by which the replica set of the record is found. It is the
// program where there is one, so that a reservation of its tokens reaches the same nodes.
func (k Key) location() string {
	if k.Program != "" {
		return k.Program
	}
	return k.Request
}

// Record tells where a stream began.
type Record struct {
	Key
	Origin Origin
	// Change counts the changes of the origin before the first event. The record with the
	// highest one holds.
	Change uint32
	// IsFinal is set once the origin doesn't change any more.
	IsFinal bool
	// Epoch is that of the replica set that the sender knew; zero for unknown.
	Epoch uint64
	// Members is the number of members of that set.
	Members uint32
}

// Answer is a storage node's answer to the question for a stream.
type Answer struct {
	// Known is set if the node has a record of the stream.
	Known   bool
	Origin  Origin
	Change  uint32
	IsFinal bool
	// Epoch is that of the replica set to which the record was sent; zero for unknown.
	Epoch uint64
	// Members is the number of members of that set.
	Members uint32
	// IsCurrent is set if the node serves the epoch of the question.
	IsCurrent bool
	// IsOutdated is set if the node knows that this epoch has ended.
	IsOutdated bool
	// Age is the time since the node got the record.
	Age time.Duration
	// RecordingFor is how long the node has kept all records that it got. It may have
	// dropped earlier ones.
	RecordingFor time.Duration
}
