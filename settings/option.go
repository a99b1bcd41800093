package settings

import "strings"

// Option describes a key of a node's settings file and the corresponding flag.
type Option = OptionOf[Settings]

// OptionOf describes a key of a settings file that is loaded into a T.
type OptionOf[T any] struct {
	// Key is the name in the settings file.
	Key string
	// Default is the textual value used if neither file nor flag sets one.
	// If empty, the option is either required or optional without a default.
	Default string
	// Required is true if the option has no default and must be set.
	Required bool
	// Allowed describes the accepted values.
	Allowed string
	// Usage describes the purpose of the option.
	Usage string

	// field returns a pointer to the field of T that holds the value.
	field func(*T) any
}

// Flag returns the name of the flag without the leading hyphens.
func (o OptionOf[T]) Flag() string { return strings.ReplaceAll(o.Key, "_", "-") }

// Descriptions shared by several options.
const (
	allowedName      = "1 to 63 lower-case letters, digits and inner hyphens"
	allowedLogLevel  = "debug, info, warn or error"
	allowedMemory    = "size with unit from 16MiB; units B, KiB, MiB, GiB"
	allowedStoreURL  = "URL with an IP number such as http://10.0.0.9:7000, no path, no host name"
	usageName        = "name of the node, unique in the deployment"
	usageZone        = "zone whose failure takes this node with it"
	usageMemory      = "memory that the process may use"
	usageRevokeLimit = "how long after its removal a key may still be taken for valid, by nodes out of touch too: requests with keys are refused where the configuration isn't proved to be newer; 0s for no such bound"
	usageLogLevel    = "least severe level that is logged"
	allowedAddress   = "IP number and port such as 10.0.0.5:7100 or [fd00::5]:7100, no host name"
	allowedSeeds     = "list of at most 64 addresses: " + allowedAddress
)

// Options returns the options of a node in the order of the documentation.
func Options() []Option {
	options := append(identityOptions(), addressOptions()...)
	options = append(options, stateOptions()...)
	options = append(options, limitOptions()...)
	options = append(options, membershipOptions()...)
	return append(options, Option{
		Key: "log_level", Default: "info", Allowed: allowedLogLevel,
		Usage: usageLogLevel,
		field: func(s *Settings) any { return &s.LogLevel },
	})
}

// identityOptions returns the options for the node's name and zone.
func identityOptions() []Option {
	return []Option{
		{
			Key: "name", Required: true, Allowed: allowedName,
			Usage: usageName,
			field: func(s *Settings) any { return &s.Name },
		},
		{
			Key: "zone", Required: true, Allowed: allowedName,
			Usage: usageZone,
			field: func(s *Settings) any { return &s.Zone },
		},
	}
}

// addressOptions returns the options for listen addresses, seeds and the object API.
func addressOptions() []Option {
	return []Option{
		{
			Key: "peer_listen", Required: true, Allowed: allowedAddress,
			Usage: "address that serves the other nodes",
			field: func(s *Settings) any { return &s.PeerListen },
		},
		{
			Key: "peer_advertise", Allowed: allowedAddress + "; the number not 0.0.0.0 or [::], the port not 0",
			Usage: "address told to the other nodes, where it differs from peer_listen",
			field: func(s *Settings) any { return &s.PeerAdvertise },
		},
		{
			Key: "caller_listen", Required: true, Allowed: allowedAddress,
			Usage: "address that serves callers",
			field: func(s *Settings) any { return &s.CallerListen },
		},
		{
			Key: "operator_listen", Required: true, Allowed: allowedAddress,
			Usage: "address that serves operators, /metrics, /healthz and /readyz",
			field: func(s *Settings) any { return &s.OperatorListen },
		},
		{
			Key: "seeds", Allowed: "list of at most 64 different addresses: " + allowedAddress,
			Usage: "peers asked for the other nodes at the start",
			field: func(s *Settings) any { return &s.Seeds },
		},
		{
			Key: "object_api", Required: true, Allowed: "URL with an IP number such as http://10.0.0.9:7000, no path, no host name",
			Usage: "base URL of the platform's object API",
			field: func(s *Settings) any { return &s.ObjectAPI },
		},
	}
}

// stateOptions returns the options for storage and replication.
func stateOptions() []Option {
	return []Option{
		{
			Key: "data_folder", Allowed: "absolute path",
			Usage: "folder for replica state and history; without it they are kept in memory",
			field: func(s *Settings) any { return &s.DataFolder },
		},
		{
			Key: "replication_factor", Default: "3", Allowed: "1, 3, 5 or 7",
			Usage: "replicas of a shard; counts when the first shard map is created",
			field: func(s *Settings) any { return &s.ReplicationFactor },
		},
		{
			Key: "shards", Default: "64", Allowed: "whole number from 1 to 4096",
			Usage: "number of shards; counts when the first shard map is created",
			field: func(s *Settings) any { return &s.Shards },
		},
	}
}

// limitOptions returns the options that limit request size and duration.
func limitOptions() []Option {
	return []Option{
		{
			Key: "request_size_limit", Default: "8MiB", Allowed: "size with unit from 1KiB to 1GiB; units B, KiB, MiB, GiB",
			Usage: "largest request body that is read from a caller; the limits object may set less",
			field: func(s *Settings) any { return &s.RequestSizeLimit },
		},
		{
			Key: "call_timeout", Default: "10m", Allowed: allowedDuration("1s", "24h"),
			Usage: "longest a call may take, whatever its deadline; the limits object may set less for calls without one",
			field: func(s *Settings) any { return &s.CallTimeout },
		},
		{
			Key: "engine_timeout", Default: "30s", Allowed: allowedDuration("100ms", "1h"),
			Usage: "how long an engine may be silent during a call",
			field: func(s *Settings) any { return &s.EngineTimeout },
		},
		{
			Key: "peer_timeout", Default: "2s", Allowed: allowedDuration("10ms", "1m"),
			Usage: "limit of one request to another node",
			field: func(s *Settings) any { return &s.PeerTimeout },
		},
		{
			Key: "object_api_timeout", Default: "5s", Allowed: allowedDuration("10ms", "5m"),
			Usage: "limit of one request to the object API",
			field: func(s *Settings) any { return &s.ObjectAPITimeout },
		},
	}
}

// membershipOptions returns the options for failure detection and draining.
func membershipOptions() []Option {
	return []Option{
		{
			Key: "heartbeat_interval", Default: "1s", Allowed: allowedDuration("10ms", "1m"),
			Usage: "pause between two heartbeats to a peer",
			field: func(s *Settings) any { return &s.HeartbeatInterval },
		},
		{
			Key: "failure_timeout", Default: "5s", Allowed: allowedDuration("50ms", "10m"),
			Usage: "how long a peer may be silent before it counts as failed; at least twice heartbeat_interval",
			field: func(s *Settings) any { return &s.FailureTimeout },
		},
		{
			Key: "drain_timeout", Default: "11m", Allowed: allowedDuration("1s", "25h"),
			Usage: "how long a planned stop waits for calls in flight; at least call_timeout",
			field: func(s *Settings) any { return &s.DrainTimeout },
		},
	}
}

// allowedDuration describes the inclusive range of a duration.
func allowedDuration(shortest, longest string) string {
	return "duration with unit from " + shortest + " to " + longest + "; units ms, s, m, h"
}
