// Package settings reads what a daemon needs to know before it starts: its name, its
// addresses, its data folder and its limits. There is one type for each daemon: Settings
// for serve, Gateway and Storage. The values come from a YAML file and from flags; a flag
// wins over the file. Reading is strict: anything that isn't understood is an *Error,
// which names the key, and nothing is started.
//
// Each key is described once, by an OptionOf: the file, the flags and the documentation
// go by these. It relies on koanf to read and on validator to check single values.
package settings

import (
	"net/netip"
	"time"
)

// Settings are the settings of a node that runs serve. Load returns them complete and
// checked. Options describes each key.
type Settings struct {
	// Name is the node's name, unique in the deployment.
	Name string `koanf:"name" validate:"required,name"`
	// Zone is the zone whose failure takes this node with it.
	Zone string `koanf:"zone" validate:"required,name"`

	// PeerListen is where other nodes reach this one.
	PeerListen netip.AddrPort `koanf:"peer_listen" validate:"required"`
	// PeerAdvertise is the address told to other nodes. It is zero where they
	// use PeerListen.
	PeerAdvertise netip.AddrPort `koanf:"peer_advertise"`
	// CallerListen serves the caller API.
	CallerListen netip.AddrPort `koanf:"caller_listen" validate:"required"`
	// OperatorListen serves operators, /metrics, /healthz and /readyz.
	OperatorListen netip.AddrPort `koanf:"operator_listen" validate:"required"`
	// Seeds are peers that a node asks for the others when it starts.
	Seeds []netip.AddrPort `koanf:"seeds" validate:"max=64,unique"`
	// ObjectAPI is the base URL of the platform's object API.
	ObjectAPI string `koanf:"object_api" validate:"required,base_url"`

	// DataFolder keeps the node's replica state; empty keeps it in memory.
	DataFolder string `koanf:"data_folder" validate:"omitempty,absolute_path"`
	// ReplicationFactor is the number of replicas of a shard. It counts only
	// when the first shard map is created, as does Shards.
	ReplicationFactor int `koanf:"replication_factor" validate:"oneof=1 3 5 7"`
	// Shards is the number of shards.
	Shards int `koanf:"shards" validate:"min=1,max=4096"`

	// RequestSizeLimit is the largest request body the caller API reads.
	RequestSizeLimit ByteSize `koanf:"request_size_limit" validate:"min=1024,max=1073741824"`
	// CallTimeout is the longest a call may take, whatever its deadline.
	CallTimeout time.Duration `koanf:"call_timeout" validate:"min=1s,max=24h"`
	// EngineTimeout is how long an engine may be silent during a call.
	EngineTimeout time.Duration `koanf:"engine_timeout" validate:"min=100ms,max=1h"`
	// PeerTimeout limits one request to another node.
	PeerTimeout time.Duration `koanf:"peer_timeout" validate:"min=10ms,max=1m"`
	// ObjectAPITimeout limits one request to the object API.
	ObjectAPITimeout time.Duration `koanf:"object_api_timeout" validate:"min=10ms,max=5m"`
	// HeartbeatInterval is the pause between two heartbeats to a peer.
	HeartbeatInterval time.Duration `koanf:"heartbeat_interval" validate:"min=10ms,max=1m"`
	// FailureTimeout is how long a peer may be silent before it counts as failed.
	FailureTimeout time.Duration `koanf:"failure_timeout" validate:"min=50ms,max=10m"`
	// DrainTimeout is how long a planned stop waits for the calls in flight.
	DrainTimeout time.Duration `koanf:"drain_timeout" validate:"min=1s,max=25h"`

	// LogLevel is the least severe level that is logged.
	LogLevel string `koanf:"log_level" validate:"oneof=debug info warn error"`
}

// PeerAddress returns the address that other nodes are told.
func (s Settings) PeerAddress() netip.AddrPort {
	if s.PeerAdvertise.IsValid() {
		return s.PeerAdvertise
	}
	return s.PeerListen
}
