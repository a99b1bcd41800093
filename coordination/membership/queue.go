package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

// priority orders pending changes; lower values are sent first.
type priority uint8

const (
	priorityLeaving priority = iota
	priorityGone
	priorityAlive
	priorityEjected
)

// subject identifies what changed: a node, or an observer's evidence about an
// engine.
type subject struct {
	node     string
	engine   string
	observer string
}

// update is a change that is still being disseminated. Its contents are looked up
// when it is sent, so that a later change replaces an earlier one of the subject.
type update struct {
	subject  subject
	priority priority
	// transmissionsLeft is the number of messages that are yet to carry the change.
	transmissionsLeft int
	order             uint64
}

// updateQueue holds the changes to piggyback on the next messages, ordered by
// priority, then by the most transmissions left, then by the newest.
type updateQueue struct {
	updates []update
	order   uint64
}

func (q *updateQueue) add(subject subject, priority priority, sends int) {
	q.remove(subject)
	q.order++
	q.updates = append(q.updates, update{
		subject:           subject,
		priority:          priority,
		transmissionsLeft: sends,
		order:             q.order,
	})
}

func (q *updateQueue) remove(subject subject) {
	q.updates = slices.DeleteFunc(q.updates, func(u update) bool {
		return u.subject == subject
	})
}

// countDuplicate reduces the transmissions left of a change that another node also
// disseminates. Leaving marks keep their full number of transmissions.
func (q *updateQueue) countDuplicate(subject subject) {
	for position := range q.updates {
		if q.updates[position].subject == subject && q.updates[position].priority != priorityLeaving {
			q.updates[position].transmissionsLeft -= duplicateReduction
		}
	}
}

// take calls visit for the changes in order. visit reports whether it sent the
// change and whether to continue.
func (q *updateQueue) take(visit func(subject) (sent, more bool)) {
	if len(q.updates) == 0 {
		return
	}
	slices.SortFunc(q.updates, compareUpdates)
	for position := range q.updates {
		sent, more := visit(q.updates[position].subject)
		if sent {
			q.updates[position].transmissionsLeft--
		}
		if !more {
			break
		}
	}
	q.updates = slices.DeleteFunc(q.updates, func(u update) bool {
		return u.transmissionsLeft <= 0
	})
}

func compareUpdates(a, b update) int {
	order := cmp.Compare(a.priority, b.priority)
	if order == 0 {
		order = cmp.Compare(b.transmissionsLeft, a.transmissionsLeft)
	}
	if order == 0 {
		order = cmp.Compare(b.order, a.order)
	}
	return order
}

// transmissionLimit returns how often each node sends a change: a multiple of the
// logarithm of the number of nodes, as in SWIM.
func transmissionLimit(nodes int) int {
	return transmissionMultiplier * bits.Len(uint(nodes))
}
