package register

import (
	"bytes"
	"sync"

	"github.com/ansel1/merry/v2"
)

// call is an Apply that waits for its result.
type call struct {
	change Change
	// done is closed once value and err are set.
	done  chan struct{}
	value []byte
	err   error

	mutex sync.Mutex
	// included is set before a value that contains the change is sent.
	included  bool
	abandoned bool
	finished  bool
	// onAbandon tells the running batch that the call was abandoned.
	onAbandon func()
}

func newCall(change Change) *call {
	return &call{change: change, done: make(chan struct{})}
}

// abandon ends the call on behalf of its caller. The error says whether the change may
// still be applied. If the call has already finished, abandon returns its result.
func (c *call) abandon(cause error) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.finished {
		return c.value, c.err
	}
	c.abandoned = true
	if c.onAbandon != nil {
		c.onAbandon()
	}
	return nil, c.undecidedError(cause)
}

// undecidedError returns the error of a call that ends without a decision. The caller
// holds the mutex.
func (c *call) undecidedError(cause error) error {
	if c.included {
		return merry.Wrap(ErrUnknownOutcome, merry.WithCause(cause), merry.AppendMessagef("%v", cause))
	}
	return merry.Wrap(ErrNoQuorum, merry.WithCause(cause), merry.AppendMessagef("%v", cause))
}

// join adds the call to a batch and returns false if it was already abandoned. onAbandon
// is called if the call is abandoned later.
func (c *call) join(onAbandon func()) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.onAbandon = onAbandon
	return !c.abandoned
}

// evaluate runs the change. If the call was abandoned, the change isn't run and active is
// false. A change that modifies the value counts as included from here on, since the
// value is sent next.
func (c *call) evaluate(current []byte) (next []byte, refusal error, active bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.abandoned {
		return current, nil, false
	}
	next, refusal = c.change(current)
	if refusal != nil {
		return current, refusal, true
	}
	if !bytes.Equal(next, current) {
		c.included = true
	}
	return next, nil, true
}

// finish sets the call's result, unless it has one or was abandoned.
func (c *call) finish(value []byte, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.finished || c.abandoned {
		return
	}
	c.finished = true
	c.value = value
	c.err = err
	close(c.done)
}

// fail ends the call without a decision.
func (c *call) fail(cause error) {
	c.mutex.Lock()
	err := c.undecidedError(cause)
	c.mutex.Unlock()
	c.finish(nil, err)
}

// callResult is the result of one evaluation of a batch for one call.
type callResult struct {
	call  *call
	value []byte
	err   error
}

// batch applies several calls of one register as a single change.
type batch struct {
	calls []*call
	// evaluations holds the results of each evaluation, since a retry may find that an
	// earlier one was chosen.
	evaluations [][]callResult

	mutex sync.Mutex
	// remaining counts the calls that weren't abandoned.
	remaining int
	// abandoned is closed when every call has been abandoned.
	abandoned chan struct{}
}

func newBatch(calls []*call) *batch {
	b := &batch{remaining: len(calls), abandoned: make(chan struct{})}
	for _, queued := range calls {
		if queued.join(b.countAbandoned) {
			b.calls = append(b.calls, queued)
		} else {
			b.countAbandoned()
		}
	}
	return b
}

// countAbandoned records that one call was abandoned.
func (b *batch) countAbandoned() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.remaining--
	if b.remaining == 0 {
		close(b.abandoned)
	}
}

// change is the Change of the whole batch. Each call is evaluated on the value that the
// previous one returned; a call that refuses leaves the value unchanged.
func (b *batch) change(current []byte) ([]byte, error) {
	results := make([]callResult, 0, len(b.calls))
	value := current
	for _, queued := range b.calls {
		next, refusal, active := queued.evaluate(value)
		if !active {
			continue
		}
		value = next
		results = append(results, callResult{call: queued, value: next, err: refusal})
	}
	b.evaluations = append(b.evaluations, results)
	return value, nil
}

// finish gives each call its result from the chosen evaluation, counted from one. Calls
// that were abandoned before that evaluation have their result already.
func (b *batch) finish(evaluation int) {
	for _, result := range b.evaluations[evaluation-1] {
		if result.err != nil {
			result.call.finish(nil, result.err)
			continue
		}
		result.call.finish(result.value, nil)
	}
}

// fail ends all calls without a decision.
func (b *batch) fail(cause error) {
	for _, member := range b.calls {
		member.fail(cause)
	}
}

func (b *batch) isAbandoned() bool {
	select {
	case <-b.abandoned:
		return true
	default:
		return false
	}
}
