// Package settings loads and validates the startup configuration of the daemons: node
// name, addresses, data folder and limits. Each daemon has its own type: [Settings] for
// serve, [Gateway] and [Storage]. Values come from a YAML file and from flags; a flag
// overrides the file. Loading is strict: an unknown key or an invalid value is returned as
// an [*Error], which names the key.
//
// Each key is declared once, as an [OptionOf], from which the flags and the documentation
// are derived. The package uses koanf to load the values and validator to check single
// fields.
package settings

import (
	"net/netip"
	"time"
)

// Settings holds the settings of a node that runs serve. [Load] returns them with defaults
// applied and validated. [Options] describes each key.
type Settings struct {
	// Name is the node's name, unique in the deployment.
	Name string `koanf:"name" validate:"required,name"`
	// Zone is the failure domain that the node belongs to.
	Zone string `koanf:"zone" validate:"required,name"`

	// PeerListen is the address that serves the other nodes.
	PeerListen netip.AddrPort `koanf:"peer_listen" validate:"required"`
	// PeerAdvertise is the address announced to other nodes. The zero value means
	// that they use PeerListen.
	PeerAdvertise netip.AddrPort `koanf:"peer_advertise"`
	// CallerListen is the address of the caller API.
	CallerListen netip.AddrPort `koanf:"caller_listen" validate:"required"`
	// OperatorListen is the address of the operator API, /metrics, /healthz and /readyz.
	OperatorListen netip.AddrPort `koanf:"operator_listen" validate:"required"`
	// Seeds are the peers queried for the addresses of the other nodes at startup.
	Seeds []netip.AddrPort `koanf:"seeds" validate:"max=64,unique"`
	// ObjectAPI is the base URL of the platform's object API.
	ObjectAPI string `koanf:"object_api" validate:"required,base_url"`

	// DataFolder stores replica state and history; if empty, they are kept in memory.
	DataFolder string `koanf:"data_folder" validate:"omitempty,absolute_path"`
	// ReplicationFactor is the number of replicas of a shard. Like Shards, it is
	// used only when the first shard map is created.
	ReplicationFactor int `koanf:"replication_factor" validate:"oneof=1 3 5 7"`
	// Shards is the number of shards.
	Shards int `koanf:"shards" validate:"min=1,max=4096"`

	// RequestSizeLimit is the largest request body that the caller API accepts.
	RequestSizeLimit ByteSize `koanf:"request_size_limit" validate:"min=1024,max=1073741824"`
	// CallTimeout bounds the duration of a call, even if its deadline is later.
	CallTimeout time.Duration `koanf:"call_timeout" validate:"min=1s,max=24h"`
	// EngineTimeout is how long an engine may be silent during a call.
	EngineTimeout time.Duration `koanf:"engine_timeout" validate:"min=100ms,max=1h"`
	// PeerTimeout bounds a request to another node.
	PeerTimeout time.Duration `koanf:"peer_timeout" validate:"min=10ms,max=1m"`
	// ObjectAPITimeout bounds a request to the object API.
	ObjectAPITimeout time.Duration `koanf:"object_api_timeout" validate:"min=10ms,max=5m"`
	// HeartbeatInterval is the interval between two heartbeats to a peer.
	HeartbeatInterval time.Duration `koanf:"heartbeat_interval" validate:"min=10ms,max=1m"`
	// FailureTimeout is how long a peer may be silent before it is considered failed.
	FailureTimeout time.Duration `koanf:"failure_timeout" validate:"min=50ms,max=10m"`
	// DrainTimeout bounds how long a graceful shutdown waits for calls in flight.
	DrainTimeout time.Duration `koanf:"drain_timeout" validate:"min=1s,max=25h"`

	// LogLevel is the minimum level that is logged.
	LogLevel string `koanf:"log_level" validate:"oneof=debug info warn error"`
}

// PeerAddress returns the address that is announced to the other nodes.
func (s Settings) PeerAddress() netip.AddrPort {
	if s.PeerAdvertise.IsValid() {
		return s.PeerAdvertise
	}
	return s.PeerListen
}
