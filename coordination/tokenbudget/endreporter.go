package tokenbudget

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// endReportDelay is how long an ended turn waits for a reservation at its host that can
	// carry it, which saves a request. A failed report is repeated after the same time.
	endReportDelay = 300 * time.Millisecond
	// maxEndReports bounds the requests that report the same ended turns. A host charges
	// turns whose end isn't reported with all the tokens that they reserved.
	maxEndReports = 5
	// flushReportPause is the pause between two reports to a host during a flush.
	flushReportPause = 50 * time.Millisecond
)

// endReport is an ended turn that its host doesn't know of yet.
type endReport struct {
	turn EndedTurn
	// failures is the number of failed reports.
	failures int
}

// failedReport holds the ended turns of one failed request.
type failedReport struct {
	address string
	reports []endReport
}

// endReporter reports ended turns to their hosts. It is safe for concurrent use.
type endReporter struct {
	hosts  HostClient
	logger *zap.Logger

	mutex sync.Mutex
	// pending holds the ended turns by the address of their host.
	pending map[string][]endReport
	// repeats holds the failed reports that wait for their next attempt.
	repeats map[*failedReport]struct{}
	// underWay counts the requests that carry ended turns or may add some.
	underWay int
}

func newEndReporter(hosts HostClient, logger *zap.Logger) *endReporter {
	return &endReporter{hosts: hosts, logger: logger, pending: make(map[string][]endReport), repeats: make(map[*failedReport]struct{})}
}

// add keeps ended turns for the next reservation at their host, or reports them in a request
// of their own after endReportDelay.
func (r *endReporter) add(address string, reports ...endReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.addLocked(address, reports)
}

func (r *endReporter) addLocked(address string, reports []endReport) {
	if len(reports) == 0 {
		return
	}
	if len(r.pending[address]) == 0 {
		time.AfterFunc(endReportDelay, func() { r.report(context.Background(), address) })
	}
	r.pending[address] = append(r.pending[address], reports...)
}

// take returns and forgets the pending ended turns of a host, for a request that carries
// them. finish must be called once that request has ended.
func (r *endReporter) take(address string) []endReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.underWay++
	reports := r.pending[address]
	delete(r.pending, address)
	return reports
}

// finish ends a request to a host and adds what has to be reported again.
func (r *endReporter) finish(address string, again ...endReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.underWay--
	r.addLocked(address, again)
}

// report reports the pending ended turns of a host in one request.
func (r *endReporter) report(ctx context.Context, address string) {
	if reports := r.take(address); len(reports) > 0 {
		r.send(ctx, address, reports)
		return
	}
	r.finish(address)
}

// send reports the ended turns, which were taken, in one request within attemptTimeout. If
// it fails, they are reported again after endReportDelay.
func (r *endReporter) send(ctx context.Context, address string, reports []endReport) {
	bounded, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	err := r.hosts.End(bounded, address, turnsOf(reports))
	switch {
	case err == nil:
		r.finish(address)
	case ctx.Err() != nil:
		r.finish(address, reports...)
	default:
		r.finishFailed(&failedReport{address, r.countFailure(address, reports, err)})
	}
}

// finishFailed ends a failed request and repeats it after endReportDelay.
func (r *endReporter) finishFailed(failed *failedReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.underWay--
	if len(failed.reports) > 0 {
		r.repeats[failed] = struct{}{}
		time.AfterFunc(endReportDelay, func() { r.repeat(failed) })
	}
}

// repeat sends a failed report again unless a flush has taken it over.
func (r *endReporter) repeat(failed *failedReport) {
	r.mutex.Lock()
	_, isWaiting := r.repeats[failed]
	if isWaiting {
		delete(r.repeats, failed)
		r.underWay++
	}
	r.mutex.Unlock()
	if isWaiting {
		r.send(context.Background(), failed.address, failed.reports)
	}
}

// countFailure returns the reports that are to be repeated after a failure.
func (r *endReporter) countFailure(address string, reports []endReport, err error) []endReport {
	for index := range reports {
		reports[index].failures++
	}
	again := slices.DeleteFunc(slices.Clone(reports), func(report endReport) bool { return report.failures >= maxEndReports })
	if dropped := len(reports) - len(again); dropped > 0 {
		r.logLost(address, dropped, err)
	}
	return again
}

// flush reports all pending ended turns to their hosts concurrently, and repeats what fails,
// until nothing is pending or under way or the context ends. It then logs what is left.
func (r *endReporter) flush(ctx context.Context) {
	var reports sync.WaitGroup
	for r.isBusy() && ctx.Err() == nil {
		for _, address := range r.takeOver() {
			reports.Go(func() { r.report(ctx, address) })
		}
		_ = sleep.For(ctx, flushReportPause)
	}
	reports.Wait()
	r.takeOver()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, left := range r.pending {
		r.logLost(address, len(left), context.Cause(ctx))
	}
}

// isBusy reports whether ended turns are pending or requests are under way.
func (r *endReporter) isBusy() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.pending) > 0 || len(r.repeats) > 0 || r.underWay > 0
}

// takeOver makes the failed reports pending and returns the hosts with pending ended turns.
func (r *endReporter) takeOver() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for failed := range r.repeats {
		delete(r.repeats, failed)
		r.pending[failed.address] = append(r.pending[failed.address], failed.reports...)
	}
	return slices.Collect(maps.Keys(r.pending))
}

func (r *endReporter) logLost(address string, turns int, err error) {
	r.logger.Warn("ended turns not reported to budget host", zap.String("address", address), zap.Int("turns", turns), zap.Error(err))
}

// turnsOf returns the ended turns of the reports.
func turnsOf(reports []endReport) []EndedTurn {
	turns := make([]EndedTurn, 0, len(reports))
	for _, report := range reports {
		turns = append(turns, report.turn)
	}
	return turns
}
