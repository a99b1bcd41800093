// Package upstream sends requests to backends over reused HTTP/1.1 connections. It
// owns these connections, their timeouts and the probes of backends that stopped
// sending, and reports for each failure whether the backend may have executed the
// request. It relies on transport/socket for TCP options.
//
// The package isn't built on http.Transport, which retries some requests by itself when
// a reused connection breaks. Here only the caller decides whether to retry.
package upstream
