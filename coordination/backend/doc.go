// Package backend tracks the running instances of each service and chooses one for each
// request: the one that most likely has the context of the request in memory, unless it
// has more than its share of this node's load, is ejected, stalled or leaving.
//
// It owns this node's state of each instance: the requests in flight, how earlier ones
// ended, and whether the instance is ejected. The set of instances is replaced as a whole
// (Pool.Replace) and read by requests without locks. The package opens no connections: the
// sender of a request reports how it ended (Outcome).
//
// Outlier detection, which compares an instance with the others of its service, comes from
// package coordination/limit.
//
// The rules are functions without I/O: whether an instance may be used (eligibility.go),
// which one a request goes to (choose.go), when one counts as stalled (health.go), when
// one is ejected (ejection.go), which expired entries are kept (massexpiry.go), and which
// of two entries belongs to the newer incarnation (incarnation.go).
package backend
