// Package peer carries the internal protocol between nodes over connect-go: the
// client that coordination packages use through their own interfaces, and the
// server that hands requests to this node's replica, budgets, quotas and copies
// of the store. What only nodes of marblering serve ask each other is in package
// nodepeer.
//
// It owns the links to other nodes (one stream an address, opened with the first
// call) and the counts of messages and bytes. It relies on package socket to give
// up connections to machines that went dark.
package peer
