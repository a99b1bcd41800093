// Package bubble runs tests in virtual time.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs the test in a bubble of testing/synctest, as synctest.Test does. Under the
// race detector the process has one processor until the bubble ends, so that tests which
// run in parallel to others can't use it.
//
// The runtime has one context of the race detector for all channel timers of a bubble.
// Goroutines that look at due timers on several processors at the same moment use it
// together, and the process ends with SIGSEGV or a failed check of ThreadSanitizer: in 2
// of 21 runs of a thousand gateways that follow through storage nodes, 7 copies beside
// 3 busy loops on 5 cores. On one processor only one of them looks at a time. The
// detector reports accesses that no synchronisation orders, on one processor too.
func Test(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	if isRace {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, run)
}
