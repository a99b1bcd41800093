package peer

import (
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"
)

// maxInFlight bounds the requests to one peer that wait for an answer's head. A
// peer that went dark would otherwise gather all that is asked of it.
const maxInFlight = 128

// errTooMany means that nothing was sent.
var errTooMany = merry.Sentinel("too many requests wait for this peer")

// boundedTransport is an http.RoundTripper that refuses what is beyond the bound
// at once.
type boundedTransport struct {
	next http.RoundTripper

	mutex   sync.Mutex
	waiting map[string]int
}

func newBoundedTransport(next http.RoundTripper) *boundedTransport {
	return &boundedTransport{next: next, waiting: make(map[string]int)}
}

// RoundTrip implements http.RoundTripper.
func (t *boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if !t.enter(request.URL.Host) {
		return nil, errTooMany
	}
	defer t.leave(request.URL.Host)
	return t.next.RoundTrip(request)
}

func (t *boundedTransport) enter(host string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.waiting[host] >= maxInFlight {
		return false
	}
	t.waiting[host]++
	return true
}

func (t *boundedTransport) leave(host string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.waiting[host]--
	if t.waiting[host] == 0 {
		delete(t.waiting, host)
	}
}
