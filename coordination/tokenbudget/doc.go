// Package tokenbudget holds the turns of programs to their token budgets over all
// gateways.
//
// Each program's record is a quorum register, so that turns that enter through
// different gateways at once are counted together, also after a restart of any of
// them. The members of the program's replica set are the hosts of its budget. A
// gateway (Client) asks one of them; the host (Host, Ledger) reserves tokens for
// some turns ahead, so that most turns begin without a round of the register.
//
// Decisions, each in a file without I/O: whether a host begins another change of a
// record (admission.go), whether a gateway asks another host or gives up
// (attempt.go), and whether it asks a shard at all (breaker.go).
//
// The package owns the reserves of a host and the turns that run on them, in memory;
// the records themselves are owned by the registers. It relies on package reach for
// which hosts answered lately and on state/budget for the rules of a record.
package tokenbudget
