// Package membership keeps track of which nodes of the system are alive, which
// are leaving, and which engines are on their way out.
//
// The mechanism follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
// every node probes a small fixed number of peers, asks other nodes before it
// believes that a peer is dead, and appends recent changes to the probes. The
// number of messages and their size don't grow with the number of nodes; only
// a change costs more than the probes do.
//
// Gossip is the protocol itself. It performs no I/O: time comes in as an
// argument, messages come in and go out as values, and its random source is
// passed in, so that a whole fleet can be stepped in one test. Service drives a
// Gossip in real time. Members is the immutable snapshot that readers load
// without a lock.
//
// Everything here is advice: a node that is reported as gone may only be cut
// off or paused. Nothing that must hold may rest on it.
package membership
