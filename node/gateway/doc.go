// Package gateway builds the daemon that stands between callers and back ends. It
// follows the configuration, the instances and the replica sets of the storage nodes
// in a store, and relays each request to an instance.
//
// It owns what it has learned of these and the connections of callers and to back
// ends, and nothing that must outlive the process: turns, budgets and quotas are kept
// by storage nodes (package transport/peer is the way to them).
//
// It relies on the store and on the storage nodes that mirror it (package
// coordination/mirror), and serves on with what it knows while neither answers. What
// the store and the headers of a deployment look like is given to it as Parts.
//
// Two rules are functions without I/O: how each kind of objects is followed
// (following.go), and whether a missing route or an unknown key is refused for good
// (refusal.go).
package gateway
