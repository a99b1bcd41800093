package quarantine

import (
	"slices"
	"sync"
	"time"
)

// maxReports is the number of crashes that a gateway keeps to report them again.
const maxReports = 1000

// reports are the crashes that a gateway has reported in the last suspectLifetime. They are
// safe for concurrent use.
type reports struct {
	mutex sync.Mutex
	sent  []reportedCrash
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

// remove drops the crashes under a request that was completed.
func (r *reports) remove(fingerprint Fingerprint) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
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
