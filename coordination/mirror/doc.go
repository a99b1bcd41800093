// Package mirror lets nodes that can't reach the store begin with what others
// had from it last. A Holder, on each storage node, keeps the newest snapshot of
// every followed kind on its disk. A Reader, on each gateway, asks the holders
// while its own followers hear nothing from the store, and offers them what is
// newer than what they know.
//
// A mirrored snapshot is the store's own, at one of its revisions, so that
// followers go on from it as from a listing. It may be out of date: nothing may
// be refused for good because of it.
package mirror
