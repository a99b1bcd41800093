package shard

import "sync"

// jobKind is the kind of a maintainer's job.
type jobKind int

const (
	jobInstall jobKind = iota
	jobFinish
	jobRefresh
	jobMove
	jobReplace
	jobSweep
)

// jobKey identifies a job. The shard of jobSweep is zero.
type jobKey struct {
	kind  jobKind
	shard uint32
}

// jobs runs at most one job of each key at a time.
type jobs struct {
	mutex   sync.Mutex
	running map[jobKey]struct{}
	group   sync.WaitGroup
}

func newJobs() *jobs { return &jobs{running: make(map[jobKey]struct{})} }

// start runs the job on a goroutine of its own, unless one of that key is running.
func (j *jobs) start(key jobKey, run func()) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if _, isRunning := j.running[key]; isRunning {
		return
	}
	j.running[key] = struct{}{}
	j.group.Go(func() {
		defer j.finish(key)
		run()
	})
}

func (j *jobs) finish(key jobKey) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	delete(j.running, key)
}

// count returns the number of running jobs of the kinds.
func (j *jobs) count(kinds ...jobKind) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	count := 0
	for key := range j.running {
		for _, kind := range kinds {
			if key.kind == kind {
				count++
			}
		}
	}
	return count
}

// wait waits for all running jobs.
func (j *jobs) wait() { j.group.Wait() }
