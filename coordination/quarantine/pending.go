package quarantine

import (
	"slices"
	"time"
)

const (
	// maxPending is the number of sends without an outcome that are kept of a request.
	maxPending = 16
	// openGrace is how long an open send counts after the time that its exchange may take: its
	// gateway has ended or stands still.
	openGrace = 5 * time.Second
	// unseen is how far ahead the end of a process is placed that may still run.
	unseen = time.Hour
)

// pendingSend is a send whose outcome isn't known.
type pendingSend struct {
	end
	gateway FollowerID
	isOpen  bool
	expires time.Time
}

// newPendingSend returns the send as it is noted. The exchange of an open one counts as ended
// when its time is over, so that tries made before then aren't in a row with it.
func newPendingSend(send Send, now time.Time) pendingSend {
	lifetime := min(send.Lifetime, suspectLifetime)
	noted := pendingSend{
		end: end{
			send: send.ID, instance: send.Instance, sent: now.Add(-send.SentAgo), ended: now.Add(-send.EndedAgo),
		},
		gateway: send.Gateway, isOpen: send.IsOpen, expires: now.Add(lifetime),
	}
	if send.IsOpen {
		noted.ended, noted.expires = now.Add(lifetime), now.Add(lifetime+openGrace)
	}
	noted.ran, noted.seen = now.Add(unseen), now.Add(unseen)
	switch {
	case send.IsBroken:
		noted.ran, noted.seen = noted.ended, noted.ended
	case send.MayHaveEnded:
		noted.ran = noted.ended.Add(send.RanAfter)
	}
	return noted
}

// pendingSends are the sends of a request whose outcome isn't known, the oldest first.
type pendingSends []pendingSend

// with returns the sends with another one. The oldest one makes room for it.
func (p pendingSends) with(added pendingSend) pendingSends {
	if len(p) >= maxPending {
		p = p[1:]
	}
	return append(slices.Clone(p), added)
}

// without returns the sends for which is returns false.
func (p pendingSends) without(is func(end) bool) pendingSends {
	return slices.DeleteFunc(slices.Clone(p), func(send pendingSend) bool { return is(send.end) })
}

func (p pendingSends) unexpired(now time.Time) pendingSends {
	if !slices.ContainsFunc(p, func(send pendingSend) bool { return !now.Before(send.expires) }) {
		return p
	}
	return slices.DeleteFunc(slices.Clone(p), func(send pendingSend) bool { return !now.Before(send.expires) })
}

// endThoseOf ends the open sends of a gateway that has ended, and reports whether there are
// any.
func (p pendingSends) endThoseOf(gateway FollowerID, now time.Time) (isAny bool) {
	for index := range p {
		if p[index].isOpen && p[index].gateway == gateway {
			p[index].isOpen, p[index].ended, p[index].ran = false, now, now
			isAny = true
		}
	}
	return isAny
}

// extendThoseBefore keeps the sends whose exchanges ended before the try that was sent under
// the end: an instance that ends later in the row makes it likely that theirs did as well.
func (p pendingSends) extendThoseBefore(later end, until time.Time) {
	for index := range p {
		if !p[index].isOpen && !p[index].ended.After(later.sent.Add(reportSkew)) && p[index].expires.Before(until) {
			p[index].expires = until
		}
	}
}

// after returns the sends that were made after the time.
func (p pendingSends) after(then time.Time) (later []end) {
	for _, send := range p {
		if !send.sent.Before(then.Add(-reportSkew)) {
			later = append(later, send.end)
		}
	}
	return later
}

func (p pendingSends) ends() (ends []end) {
	for _, send := range p {
		ends = append(ends, send.end)
	}
	return ends
}

// closed returns the sends whose exchanges have ended.
func (p pendingSends) closed() (ends []end) {
	for _, send := range p {
		if !send.isOpen {
			ends = append(ends, send.end)
		}
	}
	return ends
}

// remaining returns how long the last of the sends is kept.
func (p pendingSends) remaining(now time.Time) (remaining time.Duration) {
	for _, send := range p {
		remaining = max(remaining, send.expires.Sub(now))
	}
	return remaining
}
