package telemetry

import (
	"context"
	"sync"
)

// Check returns nil while the part it stands for can serve requests, and
// otherwise what it waits for. It must return soon after ctx ends.
type Check func(ctx context.Context) error

// Readiness is a set of named checks. It is safe for concurrent use.
type Readiness struct {
	mutex  sync.Mutex
	checks []namedCheck
}

type namedCheck struct {
	name  string
	check Check
}

// CheckResult is the outcome of one check.
type CheckResult struct {
	Name string
	// Err is nil where the check passed.
	Err error
}

// NewReadiness returns a set without checks, which counts as ready.
func NewReadiness() *Readiness { return &Readiness{} }

// Add adds a check. Checks are run and reported in the order they were added.
func (r *Readiness) Add(name string, check Check) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.checks = append(r.checks, namedCheck{name: name, check: check})
}

// Run runs every check, one after the other.
func (r *Readiness) Run(ctx context.Context) []CheckResult {
	r.mutex.Lock()
	checks := append([]namedCheck(nil), r.checks...)
	r.mutex.Unlock()
	results := make([]CheckResult, 0, len(checks))
	for _, c := range checks {
		results = append(results, CheckResult{Name: c.name, Err: c.check(ctx)})
	}
	return results
}
