// Package routing chooses the engine that serves a call of a program.
//
// Choose is a pure function: a Snapshot of the engines and a Request go in, a
// Decision comes out, the same one for the same input and random source. It
// works in three steps, in the manner of a cluster scheduler: filter
// (feasible.go), a stable subset (subset.go) and score (rank.go). The caller
// then reserves the work in a Ledger and asks the engine's admission point.
//
// What a node learns between decisions stands beside it: Locality (which
// engine has which program's context), Ledger (own work on its way, so that a
// lagging load report draws no herd) and Speeds (measured tokens per second).
// These are safe for concurrent use. The package does no I/O and relies on
// state/result for refusals.
package routing
