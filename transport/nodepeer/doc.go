// Package nodepeer implements the requests that only nodes running marblering
// serve send each other: the status of attempts, engine capacity, shares of
// tenants' rate limits, and configuration. Client and NewHandler extend those of
// package peer, which also serve gateways and storage nodes.
//
// The package keeps no state.
package nodepeer
