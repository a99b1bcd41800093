package upstream

import "net/http"

// Framing is how the end of a response's body is marked (RFC 9112, section 6.3).
type Framing string

// Ways to mark the end of a body.
const (
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	// FramingConnection: the body ends with its connection.
	FramingConnection Framing = "connection"
)

func framingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramingChunked
	case response.ContentLength < 0 && response.Request.Method != http.MethodHead:
		return FramingConnection
	}
	return FramingLength
}
