// Package routetable holds the routes, services and limits that a gateway
// serves by. A Table is checked once and never changes; a Holder publishes the
// newest one to the path of requests and never goes back to an older version.
package routetable
