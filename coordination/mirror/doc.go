// Package mirror has nodes follow the store through others, and begin with what those
// had where the store is out of reach.
//
// A Holder, on each storage node, keeps the newest snapshot of every followed kind, some
// also on its disk, and tells what changes. A Source follows one kind through holders and
// falls back to the store itself: on each gateway, and on storage nodes that don't ask
// the store themselves (Upstreams). A Reader offers the followers of a gateway what
// holders have while these followers hear nothing from the store.
//
// It owns the copies, and for each source what it knows of its holders: which failed
// lately, and when the store was last heard of. It relies on package follow for the
// followers, and on a Watcher and a Fetcher, which make the calls at other nodes.
//
// The rules are functions without I/O: in which order nodes are asked (order.go,
// upstreams.go, avoidance.go), whether an answer is used and whether one more holder is
// asked (trust.go), and when the store itself may be asked (gate.go).
//
// A mirrored snapshot is the store's own, at one of its revisions, so that followers go
// on from it as from a listing. One that a Reader offered may be out of date: nothing may
// be refused for good because of it.
package mirror
