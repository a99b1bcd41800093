package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
)

// ErrInvalidStatus means that a backend sent a head whose status no response has: what it sent isn't a
// response, and the connection is in an unknown state.
var ErrInvalidStatus = errors.New("the answer has an invalid status")

// ErrCutHead means that a head breaks off within a line, at the status line of another one. The status may
// be that of one response, and the fields and the body those of the other.
var ErrCutHead = errors.New("the head of the answer breaks off at another one")

// Parts of a status line (RFC 9112, section 4).
const (
	protocolName   = "HTTP/"
	statusAt       = len("HTTP/1.1 ")
	statusBytes    = 3
	statusEndBytes = 1
)

// readHeadOf reads the head of the next response to a request with the method. It returns an
// ErrInvalidStatus unless the status is one of RFC 9110, section 15: three digits from 100 to 599. A switch
// of protocols (101) is none, since no request asks for it. If another head stands within it, the error is
// ErrCutHead.
func readHeadOf(reader *bufio.Reader, method string) (*http.Response, error) {
	// http.ReadResponse takes statuses from 000 on and those with a sign. An error is left to it.
	if line, isWhole := peekStatus(reader); isWhole && !hasStatus(line) {
		return nil, fmt.Errorf("%w: %q", ErrInvalidStatus, bytes.TrimRight(line[statusAt:], "\r\n"))
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode == http.StatusSwitchingProtocols:
		return nil, fmt.Errorf("%w: %d", ErrInvalidStatus, response.StatusCode)
	case hasOtherHead(response):
		return nil, ErrCutHead
	}
	return response, nil
}

// peekStatus returns the begin of a status line up to the end of its status. It doesn't wait for more bytes
// than show that there is none: isWhole is false for another line, a shorter one, or if the connection ends.
func peekStatus(reader *bufio.Reader) (line []byte, isWhole bool) {
	const length = statusAt + statusBytes + statusEndBytes
	for count := 1; count <= length; count++ {
		var err error
		if line, err = reader.Peek(count); err != nil {
			return nil, false
		}
		last := line[count-1]
		if count <= len(protocolName) && last != protocolName[count-1] || count < length && last == '\n' {
			return nil, false
		}
	}
	return line, true
}

// hasOtherHead reports whether the status line of another response stands within a line of the head.
func hasOtherHead(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for name, values := range response.Header {
		if statusLine.MatchString(name) || slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// statusLine matches where the status line of a response begins in a text.
var statusLine = regexp.MustCompile(`HTTP/1\.. [1-5][0-9]{2}(?:[ \r\n]|$)`)

// IndexStatusLine returns where the status line of a response begins in the text, -1 for nowhere.
func IndexStatusLine(text []byte) int {
	if found := statusLine.FindIndex(text); found != nil {
		return found[0]
	}
	return -1
}

// hasStatus reports whether the begin of a status line has a valid status.
func hasStatus(line []byte) bool {
	status, end := line[statusAt:statusAt+statusBytes], line[statusAt+statusBytes]
	for _, digit := range status {
		if digit < '0' || '9' < digit {
			return false
		}
	}
	return '1' <= status[0] && status[0] <= '5' && (end == ' ' || end == '\r' || end == '\n')
}

// isInterim reports whether another response follows the one with the valid status.
func isInterim(status int) bool { return status < http.StatusOK }
