// Package experiment measures routing policies in virtual time.
//
// Run builds the fleet of a deployment from engine stand-ins (engine.Core),
// feeds it the programs of a workload and lets each policy decide where their
// calls go, with the same programs at the same instants for every policy. The
// policy "marblering" is the code of coordination/routing and
// coordination/limit that the nodes use; the others are baselines.
//
// A run is a discrete-event simulation: no goroutine, clock or map order takes
// part in it, so the same Config gives the same Report to the byte.
package experiment
