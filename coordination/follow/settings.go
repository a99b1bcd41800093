package follow

import "time"

// Settings holds the timeouts and pauses of a follower's calls.
type Settings struct {
	// ListTimeout limits one listing.
	ListTimeout time.Duration
	// WatchWait is how long the store may hold a watch request without changes.
	WatchWait time.Duration
	// WatchGrace is how much longer than WatchWait the response may take. An
	// unresponsive store is detected after the sum of both.
	WatchGrace time.Duration
	// BatchDelay is the pause after changes, so that further changes shortly afterwards
	// arrive in one response.
	BatchDelay time.Duration
	// MinBackoff and MaxBackoff limit the exponential backoff after failed calls.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// DefaultSettings returns settings that detect an unresponsive store within three seconds.
func DefaultSettings() Settings {
	return Settings{
		ListTimeout: 1500 * time.Millisecond,
		WatchWait:   2 * time.Second,
		WatchGrace:  700 * time.Millisecond,
		BatchDelay:  150 * time.Millisecond,
		MinBackoff:  50 * time.Millisecond,
		MaxBackoff:  400 * time.Millisecond,
	}
}
