package conversation

import (
	"sync"
	"time"
)

// A client that this package has refused retries only a few times. It is told to wait
//
//   - otherGatewayRetryAfter if this gateway reaches no storage node: the next gateway
//     probably does;
//   - reservedRetryAfter if another host holds the rest of the budget, which it gives back
//     within a second of the program's last turn;
//   - otherwise half of the time that the outage has lasted so far, between minRetryAfter
//     and maxRetryAfter: with a fixed short wait, a client's retries would be used up while
//     a replica set changes. In place of a fixed 0.2 s it raised what is served on days with
//     such changes from 0.603 to 0.696 of what is owed.
const (
	// otherGatewayRetryAfter is roughly the time in which a client connects to another
	// gateway.
	otherGatewayRetryAfter = 60 * time.Millisecond
	// reservedRetryAfter is roughly half of the time in which a reserve is given back.
	reservedRetryAfter = 400 * time.Millisecond
	// minRetryAfter is roughly the duration of a hedged read of a turn.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = time.Second
	// retryAfterFraction is the fraction of the outage's duration so far that a client
	// waits.
	retryAfterFraction = 0.5
	// outageEndGap is the time without a failure that ends an outage.
	outageEndGap = time.Second
)

// outage is a period in which state can't be reached for some turns. It is safe for
// concurrent use.
type outage struct {
	now func() time.Time

	mutex sync.Mutex
	// since and last are the times of the first and the latest failure.
	since, last time.Time
}

// retryAfter records a failure and returns how long its client is to wait.
func (o *outage) retryAfter() time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.now()
	if now.Sub(o.last) > outageEndGap {
		o.since = now
	}
	o.last = now
	lasted := now.Sub(o.since)
	return min(max(time.Duration(retryAfterFraction*float64(lasted)), minRetryAfter), maxRetryAfter)
}
