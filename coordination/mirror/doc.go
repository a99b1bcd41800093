// Package mirror has nodes follow the store through others, and begin with what
// those had where the store is out of reach. A Holder, on each storage node, keeps
// the newest snapshot of every followed kind, also on its disk, and tells what
// changes. A Source follows one kind through holders and falls back to the store
// itself: on each gateway, and on storage nodes that aren't the first of their
// zone. A Reader offers a gateway's followers what holders have while these hear
// nothing from the store.
//
// A mirrored snapshot is the store's own, at one of its revisions, so that
// followers go on from it as from a listing. One that a Reader offered may be out
// of date: nothing may be refused for good because of it.
package mirror
