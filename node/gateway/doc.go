// Package gateway builds the daemon that stands between callers and back ends:
// it follows configuration and instances in a store, and relays requests. It
// keeps nothing that must last. What the store and the headers of a deployment
// look like is given to it as Parts.
package gateway
