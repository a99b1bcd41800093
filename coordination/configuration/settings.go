package configuration

import "time"

// Settings tune how configuration spreads. Zero fields take the value of
// DefaultSettings.
type Settings struct {
	// ReadersPerZone is how many nodes of a zone watch the object API.
	ReadersPerZone int
	// Settle is how long a node must find itself among its zone's readers before
	// it begins to watch, so that nodes that have only just met don't all begin.
	Settle time.Duration
	// Unsettle is how long a reader that no longer is among them goes on.
	Unsettle time.Duration
	// Fanout is to how many other nodes a node passes on a new version.
	Fanout int
	// FetchPause is the least time between two fetches from peers.
	FetchPause time.Duration
	// ReadPauseFirst and ReadPauseLast bound the growing pause between tries to
	// reach the object API.
	ReadPauseFirst time.Duration
	ReadPauseLast  time.Duration
	// RepairAfter is how long a node without any configuration, and without a
	// peer that has one, waits before it makes do with the valid part of an
	// invalid store.
	RepairAfter time.Duration
	// PeerTimeout bounds one request to another node.
	PeerTimeout time.Duration
	// StoreTimeout bounds one list of the object API.
	StoreTimeout time.Duration
	// AcceptTimeout bounds the acceptance of a change whose context has no
	// deadline.
	AcceptTimeout time.Duration
	// Parallel is how many members are asked at a time to install a version.
	Parallel int
}

// DefaultSettings are the settings of a Settings with nothing set.
func DefaultSettings() Settings {
	return Settings{
		ReadersPerZone: 2,
		Settle:         time.Second,
		Unsettle:       5 * time.Second,
		Fanout:         3,
		FetchPause:     200 * time.Millisecond,
		ReadPauseFirst: 200 * time.Millisecond,
		ReadPauseLast:  5 * time.Second,
		RepairAfter:    10 * time.Second,
		PeerTimeout:    2 * time.Second,
		StoreTimeout:   20 * time.Second,
		AcceptTimeout:  10 * time.Second,
		Parallel:       64,
	}
}

func (s Settings) withDefaults() Settings {
	defaults := DefaultSettings()
	setDefault(&s.ReadersPerZone, defaults.ReadersPerZone)
	setDefault(&s.Settle, defaults.Settle)
	setDefault(&s.Unsettle, defaults.Unsettle)
	setDefault(&s.Fanout, defaults.Fanout)
	setDefault(&s.FetchPause, defaults.FetchPause)
	setDefault(&s.ReadPauseFirst, defaults.ReadPauseFirst)
	setDefault(&s.ReadPauseLast, defaults.ReadPauseLast)
	setDefault(&s.RepairAfter, defaults.RepairAfter)
	setDefault(&s.PeerTimeout, defaults.PeerTimeout)
	setDefault(&s.StoreTimeout, defaults.StoreTimeout)
	setDefault(&s.AcceptTimeout, defaults.AcceptTimeout)
	setDefault(&s.Parallel, defaults.Parallel)
	return s
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
