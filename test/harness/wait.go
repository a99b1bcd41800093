package harness

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// Generous is the limit of every wait: far above what any condition needs on a
// loaded machine.
const Generous = 2 * time.Minute

// pollInterval is the time between two looks at a condition.
const pollInterval = 5 * time.Millisecond

// Eventually waits until the condition holds and ends the test when Generous has
// passed. The condition's message says what is missing.
func Eventually(t testing.TB, condition func() (bool, string)) {
	t.Helper()
	deadline := time.Now().Add(Generous)
	for {
		holds, message := condition()
		if holds {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("gave up after %v: %s", Generous, message)
		}
		time.Sleep(pollInterval)
	}
}

// Output keeps what a process writes. It is safe for concurrent use.
type Output struct {
	mutex sync.Mutex
	text  strings.Builder
}

// Write implements io.Writer.
func (o *Output) Write(piece []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(piece)
}

// String returns what was written so far.
func (o *Output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.String()
}

// value returns the first value of the field key=value in whole lines.
func (o *Output) value(key string) (string, bool) {
	for line := range strings.Lines(o.String()) {
		for _, field := range strings.Fields(line) {
			value, found := strings.CutPrefix(field, key+"=")
			if found && strings.HasSuffix(line, "\n") {
				return strings.Trim(value, `"`), true
			}
		}
	}
	return "", false
}
