package relay

import (
	"net/http"
	"strings"
)

// hopByHopHeaders returns the names of headers that apply to a single connection (RFC 9110,
// section 7.6.1) or are set anew for each message.
func hopByHopHeaders() []string {
	return []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	}
}

// copyEndToEnd copies a header without its hop-by-hop fields.
func copyEndToEnd(header http.Header) http.Header {
	copied := header.Clone()
	for _, line := range header.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders() {
		copied.Del(name)
	}
	return copied
}

// originForm removes scheme and authority from a target in absolute form, which servers
// must accept (RFC 9112, section 3.2.2). Path and query are unchanged.
func originForm(target string) string {
	_, rest, ok := strings.Cut(target, "://")
	if !ok || strings.HasPrefix(target, "/") {
		return target
	}
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	}
	return rest[start:]
}

// headerBytes returns the approximate size of a request's line and header as received.
func headerBytes(request *http.Request) int64 {
	const separators = len(": \r\n")
	size := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return int64(size)
}

// copyResponseHeader copies the header of a backend's response. It keeps net/http from
// adding fields that the backend didn't set.
func copyResponseHeader(target, source http.Header) {
	for name, values := range copyEndToEnd(source) {
		target[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, set := target[name]; !set {
			target[name] = nil
		}
	}
}
