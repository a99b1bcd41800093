// Package tokenbudget enforces the token budgets of programs across all gateways.
//
// The record of each program is a quorum register, so that turns that enter through
// different gateways are counted together, also after any of them restarts. The members of
// the program's replica set are the hosts of its budget. A gateway (Client) asks one of
// them; the host (Host, Ledger) reserves tokens for several turns ahead, so that most turns
// begin without a change of the register.
//
// Decisions are kept in files without I/O: whether a host begins another change of a record
// (admission.go), whether a gateway asks another host or gives up (attempt.go), and whether
// it asks a shard at all (breaker.go).
//
// The package owns the reserves of a host and the turns that use them, in memory. The
// registers own the records, package state/budget their rules. Package reach tells which
// hosts answered lately.
package tokenbudget
