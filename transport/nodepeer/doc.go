// Package nodepeer has what only nodes of marblering serve ask each other: the
// status of attempts, room at engines, slices of tenants' rates, and
// configuration. Package peer has what they share with gateways and storage
// nodes; Client and NewHandler build on its.
//
// It owns no state of its own.
package nodepeer
