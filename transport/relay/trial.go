package relay

import (
	"net/http"
	"time"

	"github.com/marblering/marblering/coordination/backend"
)

// trial is the request at one instance.
type trial struct {
	choice *backend.Choice
	began  time.Time
	// first is the time to the first event; zero where none has come.
	first time.Duration
	// status is that of a plain answer.
	status int
}

// heard notes that an event came.
func (t *trial) heard(now time.Time) {
	if t.first == 0 {
		t.first = now.Sub(t.began)
	}
	t.choice.Heard()
}

// ending says what it showed of the instance.
func (t *trial) ending(ended outcome, now time.Time) backend.Ending {
	waited := now.Sub(t.began)
	if t.status == http.StatusGatewayTimeout {
		return backend.Waited{Wait: waited}
	}
	switch ended {
	case delivered, unstored:
		if t.first == 0 {
			t.first = waited
		}
		return backend.Answered{Wait: t.first, Faulty: t.status >= http.StatusInternalServerError}
	case unsent, lost:
		return backend.Broken{}
	case abandoned:
		if t.first == 0 {
			return backend.Waited{Wait: waited}
		}
	case refused:
	}
	return backend.Unjudged{}
}
