// Package follow keeps a local copy of one kind of objects of a store up to date: it lists
// them once and then watches for changes by long polling.
//
// A Follower owns the copy and tracks how fresh it is. Its Source makes the calls, each
// with a timeout, so that an unresponsive store is detected. The copy stays in use while
// the store is unavailable, and never goes back to an older revision.
package follow
