package quarantine

import (
	"slices"
	"time"
)

const (
	// maxPending is the number of sends without an outcome that are kept of a request.
	maxPending = 16
	// openEnd is how far ahead the end of a send under way is placed, so that it is the last
	// one of a row, and that of a process that may still run.
	openEnd = time.Hour
)

// pendingSend is a send whose outcome isn't known.
type pendingSend struct {
	end
	isOpen  bool
	expires time.Time
}

func newPendingSend(send Send, now time.Time) pendingSend {
	noted := pendingSend{
		end: end{
			send: send.ID, instance: send.Instance, sent: now.Add(-send.SentAgo), ended: now.Add(-send.EndedAgo),
		},
		isOpen: send.IsOpen, expires: now.Add(min(send.Lifetime, suspectLifetime)),
	}
	if send.IsOpen {
		noted.ended = now.Add(openEnd)
	}
	noted.seen = noted.ended
	if !send.IsBroken {
		noted.seen = now.Add(openEnd)
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

// remaining returns how long the last of the sends is kept.
func (p pendingSends) remaining(now time.Time) (remaining time.Duration) {
	for _, send := range p {
		remaining = max(remaining, send.expires.Sub(now))
	}
	return remaining
}
