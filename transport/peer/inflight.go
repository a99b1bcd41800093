package peer

import (
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"
)

// maxInFlight is the highest number of requests to one peer that wait for response
// headers, and of calls on one link that wait for answers. Without a limit, requests to
// an unresponsive peer would pile up.
const maxInFlight = 128

// errTooManyRequests is returned for a request that exceeds maxInFlight. The request
// wasn't sent.
var errTooManyRequests = merry.Sentinel("too many requests to this peer are in flight")

// limitedTransport is an http.RoundTripper that limits the requests in flight to each
// host. It rejects further requests immediately.
type limitedTransport struct {
	next http.RoundTripper

	mutex sync.Mutex
	// inFlight counts the requests by host.
	inFlight map[string]int
}

func newLimitedTransport(next http.RoundTripper) *limitedTransport {
	return &limitedTransport{next: next, inFlight: make(map[string]int)}
}

// RoundTrip implements http.RoundTripper.
func (t *limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if !t.acquire(request.URL.Host) {
		return nil, errTooManyRequests
	}
	defer t.release(request.URL.Host)
	return t.next.RoundTrip(request)
}

func (t *limitedTransport) acquire(host string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.inFlight[host] >= maxInFlight {
		return false
	}
	t.inFlight[host]++
	return true
}

func (t *limitedTransport) release(host string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inFlight[host]--
	if t.inFlight[host] == 0 {
		delete(t.inFlight, host)
	}
}
