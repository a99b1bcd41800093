// Package peer implements the internal protocol between nodes over connect-go: a
// client, which coordination packages use through their own interfaces, and a server,
// which passes requests on to this node's replica, budgets, quotas and copies of the
// store. Requests that only nodes run by "marblering serve" send each other are in
// package nodepeer.
//
// The client keeps one stream of calls per address, opened with the first call. Both
// sides count messages and bytes. Package socket closes connections to machines that
// stopped responding.
package peer
