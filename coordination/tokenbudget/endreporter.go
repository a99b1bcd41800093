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
	// carry it, which saves a request. A failed report is repeated after the same time, which
	// doubles with each failure in a row at the host up to maxEndReportPause.
	endReportDelay    = 300 * time.Millisecond
	maxEndReportPause = 8 * endReportDelay
	// flushReportPause is the pause between two reports to a host during a flush.
	flushReportPause = 50 * time.Millisecond
)

// endReport is an ended turn that its host doesn't know of yet.
type endReport struct {
	turn EndedTurn
	// until is when the turn's lifetime is over. The host then charges it with all the tokens
	// that it reserved, whatever is reported later.
	until time.Time
}

// failedReport holds the ended turns of one failed request.
type failedReport struct {
	address  string
	reports  []endReport
	failedAt time.Time
}

// endReporter reports ended turns to their hosts. It is safe for concurrent use.
type endReporter struct {
	hosts  HostClient
	now    func() time.Time
	logger *zap.Logger

	mutex sync.Mutex
	// pending holds the ended turns by the address of their host.
	pending map[string][]endReport
	// repeats holds the failed reports that wait for their next attempt.
	repeats map[*failedReport]struct{}
	// failures counts the failed reports in a row by the address of the host.
	failures map[string]int
	// underWay counts the requests that carry ended turns or may add some.
	underWay int
}

func newEndReporter(hosts HostClient, now func() time.Time, logger *zap.Logger) *endReporter {
	return &endReporter{
		hosts: hosts, now: now, logger: logger,
		pending: make(map[string][]endReport), repeats: make(map[*failedReport]struct{}), failures: make(map[string]int),
	}
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
// it fails, they are reported again after a pause, until their lifetimes are over.
func (r *endReporter) send(ctx context.Context, address string, reports []endReport) {
	bounded, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	err := r.hosts.End(bounded, address, turnsOf(reports))
	switch {
	case err == nil:
		r.finishReported(address)
	case ctx.Err() != nil:
		r.finish(address, reports...)
	default:
		r.finishFailed(&failedReport{address: address, reports: r.unexpired(address, reports, err), failedAt: r.now()})
	}
}

// finishReported ends a request that has reported its turns.
func (r *endReporter) finishReported(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.underWay--
	delete(r.failures, address)
}

// finishFailed ends a failed request and repeats it after a pause.
func (r *endReporter) finishFailed(failed *failedReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.underWay--
	if len(failed.reports) == 0 {
		return
	}
	r.repeats[failed] = struct{}{}
	time.AfterFunc(reportPause(r.failures[failed.address]), func() { r.repeat(failed) })
	r.failures[failed.address]++
}

// reportPause returns the pause after a failed report, with the number of those in a row
// before it.
func reportPause(failures int) time.Duration {
	pause := endReportDelay
	for range failures {
		if pause = 2 * pause; pause >= maxEndReportPause {
			return maxEndReportPause
		}
	}
	return pause
}

// repeat sends a failed report again unless a flush or another report has taken it over.
func (r *endReporter) repeat(failed *failedReport) {
	r.mutex.Lock()
	_, isWaiting := r.repeats[failed]
	var reports []endReport
	if isWaiting {
		reports = r.takeRepeats(failed)
		r.underWay++
	}
	r.mutex.Unlock()
	if isWaiting {
		r.send(context.Background(), failed.address, reports)
	}
}

// takeRepeats returns the ended turns of the report that is due, and of those to the same host
// that have waited for endReportDelay, so that one request repeats them all. The mutex must be
// held.
func (r *endReporter) takeRepeats(due *failedReport) (reports []endReport) {
	for failed := range r.repeats {
		isReady := failed.address == due.address && r.now().Sub(failed.failedAt) >= endReportDelay
		if failed == due || isReady {
			delete(r.repeats, failed)
			reports = append(reports, failed.reports...)
		}
	}
	return reports
}

// unexpired returns the reports of turns that the host hasn't charged yet, which are to be
// repeated.
func (r *endReporter) unexpired(address string, reports []endReport, err error) []endReport {
	now := r.now()
	again := slices.DeleteFunc(slices.Clone(reports), func(report endReport) bool { return now.After(report.until) })
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
