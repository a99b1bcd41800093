// Package routetable holds one version of a gateway's configuration: routes, services,
// limits and tenants.
//
// A Table is validated once and immutable. An ActiveTable holds the newest table, publishes it
// to request handlers, and never returns to an older version. The package does no I/O: its
// caller decodes the configuration and installs the table.
package routetable
