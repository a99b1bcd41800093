// Package admission decides at the nodes of marblering serve which calls go on:
// what an engine may have outstanding (Point), what a tenant may use over all
// nodes (Pool hands out slices of its rate, Share spends them), and when a call
// is refused before it queues (Shedder).
//
// It owns these counts in memory and no I/O: which node counts for which engine
// or tenant is decided by its user. Clock readings and random sources are passed
// in. All types are safe for concurrent use.
package admission
