package limit

import (
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// DeadlineHeader carries the time left for a call, in milliseconds. A time
// left survives clocks that disagree; a point in time wouldn't.
const DeadlineHeader = "Marblering-Deadline-Ms"

// ParseDeadline reads the header's value as a point in time of this machine.
// An empty value means no deadline.
func ParseDeadline(value string, now time.Time) (time.Time, error) {
	if value == "" {
		return time.Time{}, nil
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds <= 0 {
		return time.Time{}, merry.Errorf("read %s: %q is no positive number of milliseconds", DeadlineHeader, value)
	}
	const longest = int64(365 * 24 * time.Hour / time.Millisecond)
	return now.Add(time.Duration(min(milliseconds, longest)) * time.Millisecond), nil
}

// FormatDeadline gives the header's value for the next hop: the time left less
// the allowance for getting there. It is empty without a deadline; false means
// that too little is left to go on.
func FormatDeadline(deadline, now time.Time, allowance time.Duration) (string, bool) {
	if deadline.IsZero() {
		return "", true
	}
	left := deadline.Sub(now) - allowance
	if left < time.Millisecond {
		return "", false
	}
	return strconv.FormatInt(left.Milliseconds(), 10), true
}
