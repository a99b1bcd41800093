// Package streamorigin keeps where streams began, so that any gateway can continue a broken
// stream at the software version that began it, also after the gateway that did is gone.
//
// A gateway (Client) records the origin of a stream at storage nodes (Table) before the
// client can have received an event. Mostly the record is part of the reservation of the
// stream's tokens and costs no message. Once the origin can't change any more, it is copied
// to the other members of the replica set. A gateway that is asked to resume a stream
// queries all members that would have the record.
//
// Records are kept in memory only, for the Retention while there is room. A stream without
// a record isn't resumed.
//
// The package owns the records of a storage node. Package register tells which nodes belong
// to a replica set, package transport/peer carries the messages.
package streamorigin
