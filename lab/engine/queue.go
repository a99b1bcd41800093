package engine

import "container/heap"

// stage is how far a job has come.
type stage int

const (
	waiting stage = iota
	prefilling
	decoding
	importing
)

// job is a request, or an import of context, inside the engine.
type job struct {
	Request
	root         rootName
	rootKey      uint64
	stage        stage
	sequence     uint64
	promptTokens int
	cachedTokens int
	memory       claim
	// remaining is what is left to prefill, in tokens.
	remaining float64
	// rank orders the job in the queue it is in: the due time of an import, the
	// decode counter at the end of a decode.
	rank     float64
	position int
}

// jobQueue is a heap of jobs.
type jobQueue struct {
	jobs []*job
	less func(a, b *job) bool
}

// byPriority orders by priority, then by arrival.
func byPriority(a, b *job) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.sequence < b.sequence
}

// byRank orders by rank, then by arrival.
func byRank(a, b *job) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.sequence < b.sequence
}

func (q *jobQueue) head() *job {
	if len(q.jobs) == 0 {
		return nil
	}
	return q.jobs[0]
}

func (q *jobQueue) add(j *job)    { heap.Push(q, j) }
func (q *jobQueue) remove(j *job) { heap.Remove(q, j.position) }

func (q *jobQueue) Len() int           { return len(q.jobs) }
func (q *jobQueue) Less(i, j int) bool { return q.less(q.jobs[i], q.jobs[j]) }

func (q *jobQueue) Swap(i, j int) {
	q.jobs[i], q.jobs[j] = q.jobs[j], q.jobs[i]
	q.jobs[i].position = i
	q.jobs[j].position = j
}

// Push is for container/heap.
func (q *jobQueue) Push(item any) {
	added := item.(*job)
	added.position = len(q.jobs)
	q.jobs = append(q.jobs, added)
}

// Pop is for container/heap.
func (q *jobQueue) Pop() any {
	last := len(q.jobs) - 1
	removed := q.jobs[last]
	q.jobs[last] = nil
	q.jobs = q.jobs[:last]
	return removed
}
