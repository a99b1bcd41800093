package quarantine

import (
	"slices"
	"sync"
	"time"
)

// maxReports is the number of crashes, and of sends, that a gateway keeps to report them again.
const maxReports = 1000

// reports are the crashes that a gateway has reported in the last suspectLifetime, and the
// sends that it has noted and that still count. They are safe for concurrent use.
type reports struct {
	mutex sync.Mutex
	sent  []reportedCrash
	noted []notedSend
}

type notedSend struct {
	send Send
	at   time.Time
}

type reportedCrash struct {
	crash Crash
	at    time.Time
}

// add adds a crash and drops those that are too old.
func (r *reports) add(crash Crash, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sent = slices.DeleteFunc(r.sent, func(old reportedCrash) bool { return now.Sub(old.at) >= suspectLifetime })
	if len(r.sent) >= maxReports {
		r.sent = r.sent[1:]
	}
	r.sent = append(r.sent, reportedCrash{crash: crash, at: now})
}

// addSend adds a send in place of what was noted of it before, and drops those that count no
// more.
func (r *reports) addSend(send Send, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.noted = slices.DeleteFunc(r.noted, func(old notedSend) bool { return old.send.ID == send.ID || now.Sub(old.at) >= old.send.Lifetime })
	if len(r.noted) >= maxReports {
		r.noted = r.noted[1:]
	}
	r.noted = append(r.noted, notedSend{send: send, at: now})
}

// removeSend drops a send whose outcome is known.
func (r *reports) removeSend(id SendID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.noted = slices.DeleteFunc(r.noted, func(old notedSend) bool { return old.send.ID == id })
}

// sends returns the sends, with the time that has passed since.
func (r *reports) sends(now time.Time) (sends []Send) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, noted := range r.noted {
		passed := now.Sub(noted.at)
		if passed >= noted.send.Lifetime {
			continue
		}
		send := noted.send
		send.SentAgo += passed
		send.Lifetime -= passed
		if !send.IsOpen {
			send.EndedAgo += passed
		}
		sends = append(sends, send)
	}
	return sends
}

// remove drops the crashes and sends of a request that was completed.
func (r *reports) remove(fingerprint Fingerprint) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.noted = slices.DeleteFunc(r.noted, func(old notedSend) bool { return old.send.Fingerprint == fingerprint })
	r.sent = slices.DeleteFunc(r.sent, func(old reportedCrash) bool { return old.crash.Fingerprint == fingerprint })
}

// all returns the crashes, with the time that has passed since.
func (r *reports) all(now time.Time) []Crash {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var crashes []Crash
	for _, reported := range r.sent {
		passed := now.Sub(reported.at)
		if passed >= suspectLifetime {
			continue
		}
		crash := reported.crash
		crash.SentAgo += passed
		crash.EndedAgo += passed
		crashes = append(crashes, crash)
	}
	return crashes
}
