// Package admission implements admission control, distributed rate limiting and
// load shedding for the nodes of marblering serve. Controller limits the outstanding
// work of an engine. Pool hands out slices of a tenant's rate to all nodes, and
// NodeLimiter spends them. Shedder refuses calls before they queue.
//
// All state is in memory, and the package does no I/O. The caller decides which
// node is responsible for which engine or tenant, and passes in the time and the
// random source. All types are safe for concurrent use.
package admission
