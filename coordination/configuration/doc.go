// Package configuration holds the configuration in force: typed objects, the
// checks across them, immutable snapshots whose versions only grow, and the
// protocol that puts an accepted change in force at a majority of every
// replica set. The design is in docs/design/configuration.md.
package configuration
