// Package streamorigin keeps where streams began, so that any gateway can continue a broken
// stream at the software version that began it, also after the gateway that did is gone.
//
// A gateway (Client) records the origin of a stream at storage nodes (Table) before the
// client can have received an event. Mostly the record is part of the reservation of the
// stream's tokens and costs no message. A gateway that is asked to resume a stream queries
// all members of the replica set that would have the record.
//
// Records are kept in memory only, for as long as a client may resume the stream. A stream
// whose record is lost isn't resumed; decide.go has the rule and its only exception, a
// service that has had a single version for that long.
//
// The package owns the records of a storage node. Package register tells which nodes belong
// to a replica set, package transport/peer carries the messages.
package streamorigin
