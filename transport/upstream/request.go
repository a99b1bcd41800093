package upstream

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Request is a request to a backend.
type Request struct {
	// Address is the backend's IP address and port.
	Address string
	// Instance is the ID of the backend instance and Started the start time of its
	// process, zero if unknown. Connections aren't shared between instances at the same
	// address, nor between processes of an instance.
	Instance string
	Started  time.Time
	Method   string
	// Target is the request target as received, still escaped.
	Target string
	Host   string
	// Header must not have hop-by-hop fields (RFC 9110, section 7.6.1).
	Header http.Header
	Body   []byte
	// ID is the request's ID. Responses that name another ID in Settings.IDHeader are
	// skipped.
	ID string
	// Repeatable is set if the caller may retry the request. Only then is the exchange
	// aborted early when the backend's host becomes unreachable.
	Repeatable bool
	// KeepsSpare is set if the process may end under the request. There is a second
	// connection to it then, which shows whether it has.
	KeepsSpare bool
	// ChecksProcess is set if it matters which process of the instance gets the request.
	ChecksProcess bool
	// NeedsListed is set if only the process with that start time may get the request. Do fails
	// with ErrUnlisted, unsent, if another one runs.
	NeedsListed bool
	// SentAt is when Do began to send the request; it sets it.
	SentAt time.Time
	// IsUnlisted tells that another process got the request; Do sets it.
	IsUnlisted bool
}

// write sends the request, in a single write if it fits the buffer.
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

// Settings configure a Client.
type Settings struct {
	// IDHeader is the header in which a response repeats its request's ID.
	IDHeader string
	// DialTimeout bounds connecting to a backend.
	DialTimeout time.Duration
	// UnacknowledgedTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails (TCP_USER_TIMEOUT).
	UnacknowledgedTimeout time.Duration
	// IdleTimeout is how long a connection may be idle before it is closed, unless the
	// backend announces a shorter time.
	IdleTimeout time.Duration
	// StallTimeout is how long a repeatable request may receive nothing before the
	// backend's host is probed. Zero disables probes.
	StallTimeout time.Duration
	// ProbeTimeout is how long a probe waits for a connection.
	ProbeTimeout time.Duration
	// MaxIdle is the maximum number of idle connections kept for each process of an
	// instance.
	MaxIdle int
	// Identity tells how to ask a process when it started; nil if that isn't known.
	Identity *Identity
	// MaxBodyBytes limits the body of a response; zero for no limit.
	MaxBodyBytes int64
}

// DefaultSettings returns settings for backends with a round-trip time of a few
// milliseconds. The caller sets IDHeader, and Identity if instances may start again under
// their ID.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:           700 * time.Millisecond,
		UnacknowledgedTimeout: 1500 * time.Millisecond,
		IdleTimeout:           4 * time.Second,
		StallTimeout:          300 * time.Millisecond,
		ProbeTimeout:          300 * time.Millisecond,
		MaxIdle:               16,
	}
}
