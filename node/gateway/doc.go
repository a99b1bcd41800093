// Package gateway builds the daemon that proxies requests of callers to backends. It
// watches the configuration, the instances and the replica sets of the storage nodes in a
// store, and relays each request to an instance.
//
// It keeps copies of these objects and the connections to callers and backends, but no
// durable state: turns, token budgets and quotas are kept by storage nodes, which it calls
// through package transport/peer.
//
// It depends on the store and on the storage nodes that mirror it (holders in package
// coordination/mirror). While neither responds, it keeps serving with its copies. The
// formats of objects and headers, which differ between deployments, come in as Dependencies.
//
// Two decisions are pure functions: how each kind of object is followed (followplan.go),
// and whether a missing route or an unknown key is refused permanently (refusal.go).
package gateway
