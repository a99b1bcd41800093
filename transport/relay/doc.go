// Package relay is the reverse proxy of a gateway: it matches client requests to routes
// and forwards them to backends within the attempts and the timeout of the route. It owns
// the requests in flight. Other packages decide who is served and by which backend:
// routetable matches routes, tenant and quota check keys and rates, conversation handles
// turns of programs, backend selects an instance and upstream sends the request to it.
// A HeaderCodec maps the headers of a deployment.
//
// Decisions are separate from I/O: attemptResult.next decides whether to retry (retry.go),
// unavailableReason sets the result code and retry delay of temporary errors
// (unavailable.go), missingEntry and freshness tell permanent from temporary errors
// (freshness.go).
//
// Two rules hold for every response. A request that may have run is sent again only if its
// route allows that. A response that says "not run" (429, 503, 408) is sent only if the
// request reached no backend, or only backends that refused it.
package relay
