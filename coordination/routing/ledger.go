package routing

import (
	"sync"
	"time"
)

// finishedHorizon is how long finished work is remembered, in order to correct
// load reports that were measured before it finished. In an older report, that
// work counts as another node's.
const finishedHorizon = 10 * time.Second

// Ledger counts the work a node has sent to engines and that hasn't finished.
// A load report lags; the ledger knows at once, so that calls decided in a row
// don't all go to the engine that was idle in the last report.
type Ledger struct {
	mutex   sync.RWMutex
	engines map[string]*engineLedger
}

type engineLedger struct {
	mutex    sync.Mutex
	total    Work
	inFlight []ledgerEntry
	finished []ledgerEntry
}

type ledgerEntry struct {
	request    string
	work       Work
	dispatched time.Time
	// prefilled is when the prompt had been computed, finished when the request
	// ended; zero before that.
	prefilled time.Time
	finished  time.Time
}

// at is the work that the request was at an instant.
func (e *ledgerEntry) at(instant time.Time) Work {
	if e.dispatched.After(instant) || passed(e.finished, instant) {
		return Work{}
	}
	work := e.work
	if passed(e.prefilled, instant) {
		work.PromptTokens = 0
	}
	return work
}

// passed reports whether a time is set and not after the instant.
func passed(at, instant time.Time) bool { return !at.IsZero() && !at.After(instant) }

// NewLedger makes an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{engines: make(map[string]*engineLedger)}
}

// Reserve records work that is being dispatched.
func (l *Ledger) Reserve(engine, request string, work Work, now time.Time) {
	ledger := l.open(engine)
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.total = addWork(ledger.total, work)
	ledger.inFlight = append(ledger.inFlight, ledgerEntry{request: request, work: work, dispatched: now})
}

// Prefilled records that the first output of a request arrived: its prompt is
// no longer ahead of others.
func (l *Ledger) Prefilled(engine, request string, now time.Time) {
	ledger := l.open(engine)
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for i := range ledger.inFlight {
		entry := &ledger.inFlight[i]
		if entry.request != request || !entry.prefilled.IsZero() {
			continue
		}
		ledger.total.PromptTokens -= entry.work.PromptTokens
		entry.prefilled = now
		return
	}
}

// Release records that a request has finished or failed. Releasing one that
// isn't there changes nothing.
func (l *Ledger) Release(engine, request string, now time.Time) {
	ledger := l.open(engine)
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for i, entry := range ledger.inFlight {
		if entry.request != request {
			continue
		}
		ledger.total = subtractWork(ledger.total, entry.at(now))
		ledger.inFlight = append(ledger.inFlight[:i], ledger.inFlight[i+1:]...)
		entry.finished = now
		ledger.finished = append(ledger.finished, entry)
		break
	}
	ledger.dropOld(now)
}

// Forget drops an engine that is gone, with all work recorded for it.
func (l *Ledger) Forget(engine string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.engines, engine)
}

// Pending implements the interface of the same name.
func (l *Ledger) Pending(engine string, reportedAt time.Time) PendingWork {
	l.mutex.RLock()
	ledger, found := l.engines[engine]
	l.mutex.RUnlock()
	if !found {
		return PendingWork{}
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.pending(reportedAt)
}

func (l *Ledger) open(engine string) *engineLedger {
	l.mutex.RLock()
	ledger, found := l.engines[engine]
	l.mutex.RUnlock()
	if found {
		return ledger
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if ledger, found = l.engines[engine]; found {
		return ledger
	}
	ledger = &engineLedger{}
	l.engines[engine] = ledger
	return ledger
}

func (e *engineLedger) pending(reportedAt time.Time) PendingWork {
	pending := PendingWork{InFlight: e.total}
	for i := range e.inFlight {
		pending.add(&e.inFlight[i], reportedAt)
	}
	for i := len(e.finished) - 1; i >= 0 && e.finished[i].finished.After(reportedAt); i-- {
		pending.add(&e.finished[i], reportedAt)
	}
	return pending
}

// add takes in an entry that is in flight or finished after the report.
func (p *PendingWork) add(entry *ledgerEntry, reportedAt time.Time) {
	if entry.dispatched.After(reportedAt) {
		p.NewContext += entry.work.ContextTokens
		return
	}
	p.AtReport = addWork(p.AtReport, entry.at(reportedAt))
}

func (e *engineLedger) dropOld(now time.Time) {
	old := 0
	for old < len(e.finished) && now.Sub(e.finished[old].finished) > finishedHorizon {
		old++
	}
	e.finished = append(e.finished[:0], e.finished[old:]...)
}

func addWork(a, b Work) Work {
	return Work{
		Requests:      a.Requests + b.Requests,
		PromptTokens:  a.PromptTokens + b.PromptTokens,
		OutputTokens:  a.OutputTokens + b.OutputTokens,
		ContextTokens: a.ContextTokens + b.ContextTokens,
		Urgency:       a.Urgency + b.Urgency,
	}
}

func subtractWork(a, b Work) Work {
	return Work{
		Requests:      a.Requests - b.Requests,
		PromptTokens:  a.PromptTokens - b.PromptTokens,
		OutputTokens:  a.OutputTokens - b.OutputTokens,
		ContextTokens: a.ContextTokens - b.ContextTokens,
		Urgency:       a.Urgency - b.Urgency,
	}
}
