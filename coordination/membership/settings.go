package membership

import "time"

// Settings are the tunable parts of the protocol. The zero value of a field
// takes the default of DefaultSettings.
type Settings struct {
	// ExchangeInterval is the pause between two regular exchanges of a node.
	ExchangeInterval time.Duration
	// ExchangeTimeout is how long an exchange may take before it has failed.
	ExchangeTimeout time.Duration
	// SuspicionTime is how long a suspected node has to prove that it lives.
	SuspicionTime time.Duration
	// AskInterval is the pause between two probes of a suspected node, and
	// between two questions to the same helper.
	AskInterval time.Duration
	// ContactInterval is the pause between two tries at a seed or at a node
	// that is believed gone; it lets two sides of a cut find each other again.
	ContactInterval time.Duration
	// SyncDelay is how long tables may differ before a full copy is sent.
	SyncDelay time.Duration
	// SettleTime is how long after its first exchange a node waits until it
	// takes an incarnation it never heard of for gone.
	SettleTime time.Duration
	// ForgetTime is how long a gone node and withdrawn evidence are remembered.
	ForgetTime time.Duration
	// MachineListLag bounds how old the platform's machine list may be.
	MachineListLag time.Duration
	// ExtraExchangesPerSecond bounds the exchanges beside the regular ones.
	ExtraExchangesPerSecond float64
	// UpdateBytesPerSecond bounds the bytes of appended changes a node sends.
	UpdateBytesPerSecond float64
	// SyncBytesPerSecond bounds the bytes of full copies a node sends.
	SyncBytesPerSecond float64
}

// Sizes that no installation needs to tune.
const (
	anyZoneRings   = 4
	otherZoneRings = 2
	ringCount      = anyZoneRings + otherZoneRings

	helperCount         = 3
	maximumQuestions    = 8
	maximumUpdateBytes  = 1200
	extraExchangeBurst  = 12
	updateByteBurst     = 8 << 10
	syncByteBurst       = 80 << 10
	maximumNodes        = 4096
	maximumEvidence     = 4096
	maximumNameLength   = 256
	fullCopyStatuses    = 24
	fullCopySends       = 4
	sendsPerLogarithm   = 2
	heardSends          = 2
	goneHeartbeatMargin = 3
	minimumProbes       = 4

	heartbeatInterval = time.Second
	stallTime         = 2 * time.Second
	proofAge          = 2 * time.Second
	probeSpacing      = 500 * time.Millisecond
	loneContactPause  = 500 * time.Millisecond
	pruneInterval     = time.Minute
)

// DefaultSettings returns the settings that docs/design/membership.md measures.
func DefaultSettings() Settings {
	return Settings{
		ExchangeInterval:        time.Second / 3,
		ExchangeTimeout:         time.Second,
		SuspicionTime:           4 * time.Second,
		AskInterval:             700 * time.Millisecond,
		ContactInterval:         5 * time.Second,
		SyncDelay:               5 * time.Second,
		SettleTime:              15 * time.Second,
		ForgetTime:              time.Hour,
		MachineListLag:          time.Minute,
		ExtraExchangesPerSecond: 4,
		UpdateBytesPerSecond:    2 << 10,
		SyncBytesPerSecond:      1536,
	}
}

func (s Settings) withDefaults() Settings {
	defaults := DefaultSettings()
	setDefault(&s.ExchangeInterval, defaults.ExchangeInterval)
	setDefault(&s.ExchangeTimeout, defaults.ExchangeTimeout)
	setDefault(&s.SuspicionTime, defaults.SuspicionTime)
	setDefault(&s.AskInterval, defaults.AskInterval)
	setDefault(&s.ContactInterval, defaults.ContactInterval)
	setDefault(&s.SyncDelay, defaults.SyncDelay)
	setDefault(&s.SettleTime, defaults.SettleTime)
	setDefault(&s.ForgetTime, defaults.ForgetTime)
	setDefault(&s.MachineListLag, defaults.MachineListLag)
	setDefault(&s.ExtraExchangesPerSecond, defaults.ExtraExchangesPerSecond)
	setDefault(&s.UpdateBytesPerSecond, defaults.UpdateBytesPerSecond)
	setDefault(&s.SyncBytesPerSecond, defaults.SyncBytesPerSecond)
	// A suspected node gets several chances, however short its time.
	s.AskInterval = min(s.AskInterval, s.SuspicionTime/minimumProbes)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
