// Package tenant holds the customers of a deployment: the keys by which callers prove to
// be one of them, and the rate at which each may be served. It relies on nothing outside
// the process: tenants come with the configuration (package routetable).
//
// A key is known by its SHA-256 digest only. Digests are found by a lookup in a map: how
// long that takes depends on digests, of which nobody can choose one that is close to
// another. What is logged or counted is a tenant's name, never a key or a digest.
package tenant
