package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

// priority orders the changes that wait to be sent; smaller goes first.
type priority uint8

const (
	priorityLeaving priority = iota
	priorityGone
	priorityAlive
	priorityEjected
)

// subject names what changed: a node, or the evidence of an observer about an
// engine.
type subject struct {
	node     string
	engine   string
	observer string
}

// update is a change that is still being spread. What is sent is looked up when
// it is sent, so a later change replaces an earlier one of the same subject.
type update struct {
	subject  subject
	priority priority
	// transmissionsLeft counts the messages that still carry the change.
	transmissionsLeft int
	order             uint64
}

// updateQueue holds the changes to append to the next messages: the urgent
// first, then those sent least often, then the newest.
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

// countDuplicate takes note that another node is spreading the same change, so that less
// of it is left to do here. Urgent changes are sent in full measure.
func (q *updateQueue) countDuplicate(subject subject) {
	for position := range q.updates {
		if q.updates[position].subject == subject && q.updates[position].priority != priorityLeaving {
			q.updates[position].transmissionsLeft -= duplicateReduction
		}
	}
}

// take visits the changes in order. visit reports whether it sent the change
// and whether it can send more.
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

// transmissionLimit is how often a change is sent by each node of a fleet: a multiple of
// the logarithm of its size, as in SWIM.
func transmissionLimit(nodes int) int {
	return transmissionMultiplier * bits.Len(uint(nodes))
}
