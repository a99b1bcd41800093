package relay

import (
	"net/http"
	"time"

	"github.com/marblering/marblering/coordination/backend"
)

// attempt is the request at one instance.
type attempt struct {
	choice *backend.Choice
	began  time.Time
	// first is the time to the first event, or to the whole of a plain answer; zero before.
	first time.Duration
	// status is that of a plain answer; zero before it came, and for streams.
	status int
}

// heard notes that an event, or a plain answer, came.
func (a *attempt) heard(now time.Time) {
	if a.first == 0 {
		a.first = now.Sub(a.began)
	}
	a.choice.Heard()
}

// ending is what the attempt showed of the instance.
func (a *attempt) ending(ended outcome, now time.Time) backend.Ending {
	waited := now.Sub(a.began)
	if a.status == http.StatusGatewayTimeout {
		return backend.Waited{Wait: waited}
	}
	switch ended {
	case delivered, unstored:
		if a.first == 0 {
			a.first = waited
		}
		return backend.Answered{Wait: a.first, Faulty: a.status >= http.StatusInternalServerError}
	case unsent, lost:
		return backend.Broken{}
	case abandoned:
		if a.first == 0 {
			return backend.Waited{Wait: waited}
		}
	case refused:
	}
	return backend.Unjudged{}
}
