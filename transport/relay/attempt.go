package relay

import (
	"net/http"
	"time"

	"github.com/marblering/marblering/coordination/backend"
)

// attempt is the request at one instance.
type attempt struct {
	choice  *backend.Choice
	started time.Time
	// timeToFirst is the time to the timeToFirst event, or to the whole of a plain answer; zero before.
	timeToFirst time.Duration
	// status is that of a plain answer; zero before it came, and for streams.
	status int
}

// recordProgress notes that an event, or a plain answer, came.
func (a *attempt) recordProgress(now time.Time) {
	if a.timeToFirst == 0 {
		a.timeToFirst = now.Sub(a.started)
	}
	a.choice.Heard()
}

// ending is what the attempt showed of the instance.
func (a *attempt) ending(ended outcome, now time.Time) backend.Ending {
	waited := now.Sub(a.started)
	if a.status == http.StatusGatewayTimeout {
		return backend.Waited{Wait: waited}
	}
	switch ended {
	case delivered, turnNotStored:
		if a.timeToFirst == 0 {
			a.timeToFirst = waited
		}
		return backend.Answered{Wait: a.timeToFirst, Faulty: a.status >= http.StatusInternalServerError}
	case unsent, incomplete:
		return backend.Broken{}
	case abandoned:
		if a.timeToFirst == 0 {
			return backend.Waited{Wait: waited}
		}
	case refused:
	}
	return backend.Unjudged{}
}
