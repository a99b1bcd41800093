// Package tenant holds the tenants of a deployment: the keys that identify their callers and
// the rate limits of their requests. It uses nothing outside the process; package routetable
// builds the tenants from the configuration.
//
// Keys are kept as SHA-256 digests only and looked up in a map. The time of a lookup may depend
// on the digest, which doesn't help to guess a key, since nobody can choose a key whose digest
// is close to another. Logs and metrics contain the names of tenants, never keys or digests.
package tenant
