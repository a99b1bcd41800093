// Package relay takes requests of clients, finds their route and sends them to back ends
// within the route's attempts and the time that is left. It owns the requests under way
// and relies on the other packages for who may be served and by whom: routetable for
// routes, tenant and quota for keys and rates, conversation for turns of programs, backend
// for the choice of an instance, upstream for the exchange with it. What the headers of
// a deployment mean is told by a Dialect.
//
// The decisions stand apart from the bytes: attemptEnd.next tries again or gives up
// (retry.go), obstacle says when a client may come back (obstacle.go), missing and
// freshness say what is refused for good (freshness.go).
//
// Two rules hold for every answer. A request that may have run is sent again only where
// its route allows that. An answer that says "not run" (429, 503, 408) is given only to a
// request that reached no back end, or only back ends that refused it.
package relay
