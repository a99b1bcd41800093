package upstream

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Request is one request for a back end.
type Request struct {
	// Address is the back end's IP number and port.
	Address string
	// Instance names the back end that connections belong to, Started when its process
	// started, zero where that isn't known: another back end at the same address and
	// another life of this one get connections of their own.
	Instance string
	Started  time.Time
	Method   string
	// Target is the request target as it was received, still escaped.
	Target string
	Host   string
	// Header has no fields that concern one connection only.
	Header http.Header
	Body   []byte
	// ID is the request's id, which the answer must repeat in IDHeader.
	ID string
	// Repeatable tells that the caller may ask again, so that the request is
	// given up once the back end's machine can't be reached any more.
	Repeatable bool
}

// write sends the request in one piece where it fits the writer's buffer.
func (r *Request) write(writer *bufio.Writer) error {
	fmt.Fprintf(writer, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(writer); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		writer.WriteString("Content-Length: ")
		writer.WriteString(strconv.Itoa(len(r.Body)))
		writer.WriteString("\r\n")
	}
	writer.WriteString("\r\n")
	writer.Write(r.Body)
	return writer.Flush()
}

// Settings are the bounds of a Client.
type Settings struct {
	// IDHeader is the header in which an answer repeats its request's id.
	IDHeader string
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// UnacknowledgedTimeout is how long sent bytes may stay unacknowledged by
	// the peer's machine (TCP_USER_TIMEOUT).
	UnacknowledgedTimeout time.Duration
	// IdleTimeout is how long a connection rests before it is closed, where
	// the back end names no shorter time.
	IdleTimeout time.Duration
	// Suspicion is how long a repeatable request may hear nothing before its back
	// end's machine is looked for by connecting to it; zero for never.
	Suspicion time.Duration
	// ProbeTimeout is how long that may take.
	ProbeTimeout time.Duration
	// MaxIdle is how many resting connections are kept for an instance.
	MaxIdle int
}

// DefaultSettings suit back ends that are a few milliseconds away. IDHeader is
// left to the deployment.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:           700 * time.Millisecond,
		UnacknowledgedTimeout: 1500 * time.Millisecond,
		IdleTimeout:           4 * time.Second,
		Suspicion:             300 * time.Millisecond,
		ProbeTimeout:          300 * time.Millisecond,
		MaxIdle:               16,
	}
}
