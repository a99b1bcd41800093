package experiment

import (
	"container/heap"
	"time"
)

// schedule is the queue of a discrete-event simulation. Instants are durations
// since its start.
type schedule struct {
	now   time.Duration
	order uint64
	queue actionHeap
}

// action is something that happens at an instant; actions of the same instant
// happen in the order in which they were added.
type action struct {
	at    time.Duration
	order uint64
	run   func()
}

// at adds an action. An instant in the past counts as the present.
func (s *schedule) at(instant time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, action{at: max(instant, s.now), order: s.order, run: run})
}

// after adds an action that happens after a pause.
func (s *schedule) after(pause time.Duration, run func()) {
	s.at(s.now+pause, run)
}

// step runs the next action unless it lies beyond the end.
func (s *schedule) step(end time.Duration) bool {
	if len(s.queue) == 0 || s.queue[0].at > end {
		return false
	}
	next := heap.Pop(&s.queue).(action)
	s.now = next.at
	next.run()
	return true
}

type actionHeap []action

func (h actionHeap) Len() int      { return len(h) }
func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h actionHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Push is for container/heap.
func (h *actionHeap) Push(item any) { *h = append(*h, item.(action)) }

// Pop is for container/heap.
func (h *actionHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = action{}
	*h = (*h)[:last]
	return item
}
