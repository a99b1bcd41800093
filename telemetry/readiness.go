package telemetry

import (
	"context"
	"sync"
)

// Check returns nil if a component can serve requests, and otherwise an error that says
// what is missing. It must return soon after ctx is done.
type Check func(ctx context.Context) error

// Readiness is a list of named checks. It is safe for concurrent use.
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
	// Err is nil if the check passed.
	Err error
}

// NewReadiness returns a Readiness without checks, which counts as ready.
func NewReadiness() *Readiness { return &Readiness{} }

// Add adds a check. Checks run and are reported in the order of their addition.
func (r *Readiness) Add(name string, check Check) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.checks = append(r.checks, namedCheck{name: name, check: check})
}

// Run runs all checks one after the other and returns their results.
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
