// Package routetable holds the routes, services, limits and tenants that a gateway serves
// by, all of one version of the configuration.
//
// A Table is checked once and never changes. An InForce owns the newest one, publishes it
// to the path of requests, and never goes back to an older version. Both rely on nothing
// outside the process: whoever follows the configuration decodes it and installs it.
package routetable
