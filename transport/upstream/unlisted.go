package upstream

import (
	"errors"
	"time"
)

// ErrUnlisted means that an instance was started again under its ID, and that its entry may still
// be that of the process before.
var ErrUnlisted = errors.New("the instance was started again, and may not be listed yet as it is now")

// noteListed notes that the instance has the entry of its next process.
func (l *lives) noteListed(instance string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for to, known := range l.known {
		if to.instance == instance {
			known.noteListed(now)
		}
	}
}

func (l *life) noteListed(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.listedAt = now
}

// noteEnded notes that the process has ended by then. The entries of processes that started until
// listed are known.
func (l *life) noteEnded(at, listed time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.lastEnd.After(listed) || !l.lastEnd.After(l.listedAt) {
		l.firstEnd = at
	}
	if at.After(l.lastEnd) {
		l.lastEnd = at
	}
}

// mayBeUnlisted reports whether the connection may lead to another process than the entry of the
// instance describes. It doesn't if one is open that is older than the end.
func (l *life) mayBeUnlisted(used *connection, listed time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.lastEnd.After(listed) || !l.lastEnd.After(l.listedAt) {
		return false
	}
	for candidate := range l.open {
		if candidate.opened.Before(l.firstEnd.Add(-EndSkew)) && candidate.isOpen() {
			return false
		}
	}
	return used.opened.After(l.firstEnd.Add(-EndSkew))
}
