// Package relay takes callers' requests, finds their route and sends them to
// back ends, within the route's attempts and the time that is left. What the
// headers of a deployment mean is told by a Dialect.
//
// Two rules decide every answer. A request that may have run is sent again only
// where its route allows that. An answer that says "not run" (429, 503, 408) is
// given only to a request that reached no back end, or only back ends that
// refused it.
package relay
