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
	// SuspectProbeInterval is the pause between two probes of a suspected node, and
	// between two questions to the same helper.
	SuspectProbeInterval time.Duration
	// ContactInterval is the pause between two tries at a seed or at a node
	// that is believed gone; it lets two sides of a cut find each other again.
	ContactInterval time.Duration
	// SyncDelay is how long tables may differ before a full copy is sent.
	SyncDelay time.Duration
	// SettleTime is how long after its first exchange a node waits until it
	// takes an incarnation it never heard of for gone.
	SettleTime time.Duration
	// RetentionTime is how long a gone node and withdrawn evidence are remembered.
	RetentionTime time.Duration
	// MachineListLag bounds how old the platform's machine list may be.
	MachineListLag time.Duration
	// ExtraExchangesPerSecond bounds the exchanges beside the regular ones.
	ExtraExchangesPerSecond float64
	// UpdateBytesPerSecond bounds the bytes of appended changes a node sends.
	UpdateBytesPerSecond float64
	// SyncBytesPerSecond bounds the bytes of full copies a node sends.
	SyncBytesPerSecond float64
}

// Whom a node probes: its successors on hash rings.
const (
	// anyZoneRings is the number of rings over all nodes, otherZoneRings that over nodes
	// of other zones. So about six nodes probe each node, some of them from other
	// zones. Chosen, not measured.
	anyZoneRings   = 4
	otherZoneRings = 2
	ringCount      = anyZoneRings + otherZoneRings
)

// Suspicion. All are chosen, not measured.
const (
	// helperCount is how many nodes are asked for a later heartbeat of a suspected one.
	helperCount = 3
	// maximumQueries bounds the suspected nodes that one exchange asks about.
	maximumQueries = 8
	// minimumProbes is the least number of probes that a suspected node gets within
	// Settings.SuspicionTime.
	minimumProbes = 4
	// heartbeatInterval is the pause between two heartbeats of a node.
	heartbeatInterval = time.Second
	// goneHeartbeatMargin is how many heartbeats a gone mark is ahead of what the node
	// would have by now, so that it overrides what others have heard of it.
	goneHeartbeatMargin = 3
	// stallThreshold is the time between two steps after which a node takes itself to have
	// been stopped, and gives all suspects their time again.
	stallThreshold = 2 * time.Second
	// maximumProofAge is how old a helper's knowledge may be to count as a sign of life.
	maximumProofAge = 2 * time.Second
	// minimumProbeInterval is the least time between two probes of a node that others ask for.
	minimumProbeInterval = 500 * time.Millisecond
	// isolatedRejoinInterval stands for Settings.ContactInterval while no other node is known.
	isolatedRejoinInterval = 500 * time.Millisecond
)

// Bounds of what is sent. docs/design/membership.md measures the bytes a second that
// come of them; the single figures are chosen.
const (
	// maximumUpdateBytes bounds the changes that one message carries.
	maximumUpdateBytes = 1200
	// extraExchangeBurst is the number of exchanges beside the regular ones that may be
	// saved up.
	extraExchangeBurst = 12
	// updateByteBurst and syncByteBurst are the bytes of changes and of full copies that
	// may be saved up.
	updateByteBurst = 8 << 10
	syncByteBurst   = 80 << 10
	// fullCopyStatuses is the number of statuses above which a message counts as a full
	// copy.
	fullCopyStatuses = 24
	// fullCopyTransmissions bounds how often a change that came in a full copy is sent on.
	fullCopyTransmissions = 4
	// transmissionMultiplier times the logarithm to base 2 of the number of nodes is how often
	// each node sends a change, as in SWIM.
	transmissionMultiplier = 2
	// duplicateReduction is by how much that number falls when the change comes in from another
	// node.
	duplicateReduction = 2
)

// Bounds of what is kept. All are chosen, not measured.
const (
	// maximumNodes and maximumEvidence bound the nodes and the statements about engines
	// that are known.
	maximumNodes    = 4096
	maximumEvidence = 4096
	// maximumNameLength bounds names and addresses, in bytes.
	maximumNameLength = 256
	// pruneInterval is the pause between two searches for what is to be forgotten.
	pruneInterval = time.Minute
)

// DefaultSettings returns the settings that docs/design/membership.md measures.
func DefaultSettings() Settings {
	return Settings{
		ExchangeInterval:        time.Second / 3,
		ExchangeTimeout:         time.Second,
		SuspicionTime:           4 * time.Second,
		SuspectProbeInterval:    700 * time.Millisecond,
		ContactInterval:         5 * time.Second,
		SyncDelay:               5 * time.Second,
		SettleTime:              15 * time.Second,
		RetentionTime:           time.Hour,
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
	setDefault(&s.SuspectProbeInterval, defaults.SuspectProbeInterval)
	setDefault(&s.ContactInterval, defaults.ContactInterval)
	setDefault(&s.SyncDelay, defaults.SyncDelay)
	setDefault(&s.SettleTime, defaults.SettleTime)
	setDefault(&s.RetentionTime, defaults.RetentionTime)
	setDefault(&s.MachineListLag, defaults.MachineListLag)
	setDefault(&s.ExtraExchangesPerSecond, defaults.ExtraExchangesPerSecond)
	setDefault(&s.UpdateBytesPerSecond, defaults.UpdateBytesPerSecond)
	setDefault(&s.SyncBytesPerSecond, defaults.SyncBytesPerSecond)
	// A suspected node gets several chances, however short its time.
	s.SuspectProbeInterval = min(s.SuspectProbeInterval, s.SuspicionTime/minimumProbes)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
