// Package storage builds and runs a storage node. A storage node stores replicas of
// budgets, turns and quota leases on its disk, finds other storage nodes through the
// directory and gossip, repairs the replica sets, and mirrors objects of the object store
// (the store) for gateways.
//
// The node's only durable state is its data folder. Changes of replicated state are
// decided by majorities of the replica sets. The store is needed only to create the first
// replica sets and for the mirrored objects. Dependencies connect a node to the store of a
// deployment.
//
// The package wires others that decide: coordination/directory, which nodes form the first
// replica sets; coordination/shard, which members are replaced; coordination/retirement,
// when a node is emptied; and coordination/expiry, which turns are deleted.
package storage
