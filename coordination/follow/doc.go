// Package follow keeps a copy of one kind of objects of a store up to date: it lists them
// once and then follows their changes by held calls.
//
// A Follower owns the copy and what is known of its freshness. It relies on a Source,
// which makes the calls; each call is bounded in time, so that a store that says nothing
// holds up nobody. What is known stays in use while the store is away, and never goes
// back to an older revision.
package follow
