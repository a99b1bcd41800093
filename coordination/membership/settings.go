package membership

import "time"

// Settings holds the parameters of the protocol. A zero field takes its value
// from DefaultSettings.
type Settings struct {
	// ExchangeInterval is the interval between two periodic probes by a node.
	ExchangeInterval time.Duration
	// ExchangeTimeout is the time after which an exchange has failed.
	ExchangeTimeout time.Duration
	// SuspicionTime is how long a node stays suspected before it is declared dead.
	SuspicionTime time.Duration
	// SuspectProbeInterval is the interval between two direct probes of a suspected
	// node, and between two rounds of indirect probes.
	SuspectProbeInterval time.Duration
	// RejoinInterval is the mean interval between two attempts to contact a seed
	// or a gone node, which reconnect the cluster after a network partition.
	RejoinInterval time.Duration
	// SyncDelay is how long two nodes' tables may differ before a full copy is sent.
	SyncDelay time.Duration
	// SettleTime is the time after its first exchange from which a node reports
	// unknown incarnations as gone.
	SettleTime time.Duration
	// RetentionTime is how long gone nodes and withdrawn evidence are kept.
	RetentionTime time.Duration
	// MachineListLag is the maximum age of a reading of the platform's machine list.
	MachineListLag time.Duration
	// ExtraExchangesPerSecond limits the exchanges other than periodic probes
	// and rejoin attempts.
	ExtraExchangesPerSecond float64
	// UpdateBytesPerSecond limits the piggybacked changes that a node sends.
	UpdateBytesPerSecond float64
	// SyncBytesPerSecond limits the full copies that a node sends.
	SyncBytesPerSecond float64
}

// Numbers of hash rings, on which a node's successors are the peers it probes.
const (
	// anyZoneRings is the number of rings over all nodes, otherZoneRings the number of
	// rings over nodes of other zones. About six nodes probe each node, some of them from
	// other zones.
	anyZoneRings   = 4
	otherZoneRings = 2
	ringCount      = anyZoneRings + otherZoneRings
)

// Parameters of failure detection.
const (
	// helperCount is the number of nodes through which suspected nodes are probed
	// indirectly.
	helperCount = 3
	// maximumQueries is the maximum number of suspected nodes that one exchange queries.
	maximumQueries = 8
	// minimumProbes is the minimum number of probe intervals within
	// Settings.SuspicionTime.
	minimumProbes = 4
	// heartbeatInterval is the time in which a node's heartbeat grows by one.
	heartbeatInterval = time.Second
	// goneHeartbeatMargin is how far a gone mark is ahead of the node's expected
	// heartbeat, so that it overrides later heartbeats that other nodes have received.
	goneHeartbeatMargin = 3
	// stallThreshold is the time between two steps above which a node assumes that its own
	// process was paused, and restarts its suspicions.
	stallThreshold = 2 * time.Second
	// maximumProofAge is the maximum age of a heartbeat with which a helper answers a
	// query.
	maximumProofAge = 2 * time.Second
	// minimumProbeInterval is the minimum time between a probe of a node and a further
	// requested probe of it.
	minimumProbeInterval = 500 * time.Millisecond
	// isolatedRejoinInterval replaces Settings.RejoinInterval while a node has no peers.
	isolatedRejoinInterval = 500 * time.Millisecond
)

// Limits of the network traffic.
const (
	// maximumUpdateBytes is the maximum size of the changes in one message.
	maximumUpdateBytes = 1200
	// extraExchangeBurst is the burst of the Settings.ExtraExchangesPerSecond limit.
	extraExchangeBurst = 12
	// updateByteBurst and syncByteBurst are the bursts of the
	// Settings.UpdateBytesPerSecond and Settings.SyncBytesPerSecond limits.
	updateByteBurst = 8 << 10
	syncByteBurst   = 80 << 10
	// fullCopyStatuses is the number of statuses above which a message counts as a full
	// copy.
	fullCopyStatuses = 24
	// fullCopyTransmissions is the maximum number of times a node sends a change that it
	// received in a full copy.
	fullCopyTransmissions = 4
	// transmissionMultiplier is the number of times a node sends a change per bit of the
	// number of nodes, as in SWIM.
	transmissionMultiplier = 2
	// duplicateReduction is the number of transmissions saved when another node is seen
	// to send the same change.
	duplicateReduction = 2
)

// Limits of the memory use.
const (
	// maximumNodes and maximumEvidence are the maximum numbers of other nodes and of
	// evidence entries.
	maximumNodes    = 4096
	maximumEvidence = 4096
	// maximumNameLength is the maximum length of a name or address in bytes.
	maximumNameLength = 256
	// pruneInterval is the interval at which outdated entries are removed.
	pruneInterval = time.Minute
)

// DefaultSettings returns the default settings; docs/design/membership.md has
// measurements of them.
func DefaultSettings() Settings {
	return Settings{
		ExchangeInterval:        time.Second / 3,
		ExchangeTimeout:         time.Second,
		SuspicionTime:           4 * time.Second,
		SuspectProbeInterval:    700 * time.Millisecond,
		RejoinInterval:          5 * time.Second,
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
	setDefault(&s.RejoinInterval, defaults.RejoinInterval)
	setDefault(&s.SyncDelay, defaults.SyncDelay)
	setDefault(&s.SettleTime, defaults.SettleTime)
	setDefault(&s.RetentionTime, defaults.RetentionTime)
	setDefault(&s.MachineListLag, defaults.MachineListLag)
	setDefault(&s.ExtraExchangesPerSecond, defaults.ExtraExchangesPerSecond)
	setDefault(&s.UpdateBytesPerSecond, defaults.UpdateBytesPerSecond)
	setDefault(&s.SyncBytesPerSecond, defaults.SyncBytesPerSecond)
	// Ensures several probes of a suspected node within a short SuspicionTime.
	s.SuspectProbeInterval = min(s.SuspectProbeInterval, s.SuspicionTime/minimumProbes)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
