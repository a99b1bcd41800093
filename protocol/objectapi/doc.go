// Package objectapi is the client of the platform's object API in the dialect
// of docs/ARCHITECTURE.md. Its errors tell apart what certainly wasn't done
// from what may have been done: [Unavailable] and [Unresolved].
package objectapi
