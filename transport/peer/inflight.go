package peer

import (
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"
)

// maxInFlight bounds the requests to one peer that wait for an answer's head. A
// peer that went dark would otherwise gather all that is asked of it.
const maxInFlight = 128

// errTooManyRequests means that nothing was sent.
var errTooManyRequests = merry.Sentinel("too many requests wait for this peer")

// limitedTransport is an http.RoundTripper that refuses what is beyond the bound
// at once.
type limitedTransport struct {
	next http.RoundTripper

	mutex    sync.Mutex
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
