// Package mirror lets nodes follow the store through other nodes, and start from their copies
// while the store is unavailable.
//
// A Holder, on each storage node, keeps the latest snapshot of every followed kind, persists
// some of them, and serves changes. A Source follows one kind through holders and falls back
// to the store. Gateways use it, and storage nodes that don't follow the store
// directly (Upstreams). A CopyReader offers the copies of holders to the followers of a node
// while these hear nothing from the store.
//
// The package owns the copies, and for each source the state of its holders: their backoffs,
// and when the store last answered. It relies on package follow for the followers, and on a
// Watcher and a Fetcher for the calls to other nodes.
//
// The rules are functions without I/O: the order in which nodes are asked (order.go,
// upstreams.go, backoff.go), whether an answer is used and whether another holder is asked
// (attempts.go), and when the store may be asked directly (gate.go).
//
// A mirrored snapshot is the store's own at one of its revisions, so followers continue from
// it as from a listing. One that a CopyReader offered may be out of date, so nothing may be
// refused permanently because of it.
package mirror
