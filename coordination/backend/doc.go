// Package backend knows the running instances of each service and chooses one
// for a request: the one that most likely has the request's context in memory,
// unless it carries too much of this node's work, fails, or is leaving. The
// set of instances is replaced as a whole and read without locks.
package backend
