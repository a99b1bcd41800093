// Package membership tracks which nodes of the cluster are alive, which nodes
// are leaving, and which engines are leaving.
//
// The mechanism follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
// every node probes a small fixed number of peers, probes a suspected peer
// indirectly through other nodes before declaring it dead, and piggybacks recent
// changes on the probes. The number and size of the messages don't grow with the
// number of nodes while nothing changes.
//
// Gossip implements the protocol. It performs no I/O: the time, messages and
// random source are arguments, so that a test can simulate a whole cluster.
// Service drives a Gossip in real time. Members is an immutable snapshot that
// readers load without a lock.
//
// The view is eventually consistent and may be wrong about a node that is
// reported as gone: use it to stop routing to the node or to pause it, never
// for decisions that correctness depends on.
package membership
