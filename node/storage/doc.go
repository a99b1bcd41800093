// Package storage builds the daemon of a machine with a disk. It keeps replicas of
// budgets, turns and leases of quotas, finds the other storage nodes through the
// directory and gossip, keeps the replica sets whole, and mirrors the store for
// gateways.
//
// It owns the data folder of its machine; everything else it can learn again. It
// relies on the other members of its replica sets: what it stores is decided by
// majorities of them. It relies on the store only for the first sets and for what it
// mirrors. What the store of a deployment looks like is given to it as Parts.
//
// The rules it runs by are in the packages that it wires: who is founded in
// coordination/directory (Plan), who is replaced in coordination/shard (Plan), when a
// node is emptied in coordination/retirement, which turns are deleted in
// coordination/expiry.
package storage
