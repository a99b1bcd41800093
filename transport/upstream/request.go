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
	// Address is the back end's IP address and port.
	Address string
	// Instance is the id of the back end, Started when its process started; zero where
	// that isn't known. Another back end at the same address, and another life of this
	// one, use connections of their own.
	Instance string
	Started  time.Time
	Method   string
	// Target is the request target as it was received, still escaped.
	Target string
	Host   string
	// Header has no fields that belong to a single connection (RFC 9110, section 7.6.1).
	Header http.Header
	Body   []byte
	// ID is the request's id, which the answer must repeat in IDHeader.
	ID string
	// Repeatable tells that the request may be sent again, so that it is given up once
	// the back end's machine can't be reached any more.
	Repeatable bool
}

// write sends the request, in a single write where it fits the buffer.
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
	// DialTimeout bounds connecting to a back end.
	DialTimeout time.Duration
	// UnacknowledgedTimeout is how long the back end's machine may leave sent bytes
	// unacknowledged (TCP_USER_TIMEOUT) before the connection fails.
	UnacknowledgedTimeout time.Duration
	// IdleTimeout is how long a connection may be idle before it is closed, where the
	// back end announces no shorter time.
	IdleTimeout time.Duration
	// Suspicion is how long a repeatable request may receive nothing before the back
	// end's machine is probed; zero for never.
	Suspicion time.Duration
	// ProbeTimeout is how long such a probe waits for a connection.
	ProbeTimeout time.Duration
	// MaxIdle is how many idle connections are kept for an instance.
	MaxIdle int
}

// DefaultSettings suit back ends that are a few milliseconds away. IDHeader is
// left to the deployment.
//
// Suspicion and ProbeTimeout are measured: with a fifth of the back ends dark for 4.5 s
// three times, 0.03% of the programs failed in the mean of three seeds, 0.13% with 500
// and 400 ms, and 1.2% without probes. The others are chosen, not measured.
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
