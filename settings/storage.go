package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/spf13/pflag"
)

// Storage holds the settings of a storage node. [LoadStorage] returns them with defaults
// applied and validated. [StorageOptions] describes each key.
type Storage struct {
	// Name is the node's name, unique in the deployment.
	Name string `koanf:"name" validate:"required,name"`
	// Zone is the failure domain that the node belongs to.
	Zone string `koanf:"zone" validate:"required,name"`
	// PeerListen is the address that serves gateways and other storage nodes.
	PeerListen netip.AddrPort `koanf:"peer_listen" validate:"required"`
	// OperatorListen is the address of /metrics, /healthz and /readyz.
	OperatorListen netip.AddrPort `koanf:"operator_listen" validate:"required"`
	// StoreURL is the base URL of the store that holds the directory of storage nodes.
	StoreURL string `koanf:"store_url" validate:"required,base_url"`
	// Seeds are peer addresses of other storage nodes, used as a fallback while the store
	// is unreachable.
	Seeds []netip.AddrPort `koanf:"seeds" validate:"max=64"`
	// ApplyLimit is the time within which a new configuration must take effect at
	// gateways.
	ApplyLimit time.Duration `koanf:"apply_limit" validate:"min=100ms,max=1m"`
	// RevokeLimit is how long gateways may still accept a removed key; zero means that
	// only ApplyLimit applies.
	RevokeLimit time.Duration `koanf:"revoke_limit" validate:"min=0s,max=1h"`
	// Losses is the number of simultaneous storage node failures to tolerate.
	Losses int `koanf:"losses" validate:"min=0,max=3"`
	// Shards is the minimum number of shards; it is used only when the replica sets are
	// created.
	Shards int `koanf:"shards" validate:"min=1,max=4096"`
	// DataFolder stores the node's replica state.
	DataFolder string `koanf:"data_folder" validate:"required,absolute_path"`
	// MemoryLimit bounds the memory of the process.
	MemoryLimit ByteSize `koanf:"memory_limit" validate:"min=16777216"`
	// LogLevel is the minimum level that is logged.
	LogLevel string `koanf:"log_level" validate:"oneof=debug info warn error"`
}

// ReplicationFactor returns the number of members of a replica set, which keeps a majority
// after the tolerated losses.
func (s Storage) ReplicationFactor() int { return 2*s.Losses + 1 }

// LoadStorage loads and validates the settings of a storage node like [Load] those of a node.
func LoadStorage(path string, flags *pflag.FlagSet) (Storage, error) {
	return newLoader(path, flags, StorageOptions()).load(checkStorageListeners)
}

// checkStorageListeners rejects listeners whose addresses conflict.
func checkStorageListeners(l *loader[Storage], loaded Storage) error {
	if addressesConflict(loaded.PeerListen, loaded.OperatorListen) {
		problem := fmt.Sprintf("%v conflicts with peer_listen, which is %v", loaded.OperatorListen, loaded.PeerListen)
		return l.optionError(l.option("operator_listen"), problem)
	}
	return nil
}

// StorageOptions returns the options of a storage node in the order of the documentation.
func StorageOptions() []OptionOf[Storage] {
	return slices.Concat(
		storageAddressOptions(),
		storageLimitOptions(),
		storageProcessOptions(),
	)
}

// storageAddressOptions returns the options for identity, listen addresses, store and
// seeds.
func storageAddressOptions() []OptionOf[Storage] {
	return []OptionOf[Storage]{
		{
			Key: "name", Required: true, Allowed: allowedName, Usage: usageName,
			field: func(s *Storage) any { return &s.Name },
		},
		{
			Key: "zone", Required: true, Allowed: allowedName, Usage: usageZone,
			field: func(s *Storage) any { return &s.Zone },
		},
		{
			Key: "peer_listen", Required: true, Allowed: allowedAddress,
			Usage: "address that serves gateways and other storage nodes",
			field: func(s *Storage) any { return &s.PeerListen },
		},
		{
			Key: "operator_listen", Required: true, Allowed: allowedAddress,
			Usage: "address that serves /metrics, /healthz and /readyz",
			field: func(s *Storage) any { return &s.OperatorListen },
		},
		{
			Key: "store_url", Required: true, Allowed: allowedStoreURL,
			Usage: "base URL of the store in which storage nodes find each other",
			field: func(s *Storage) any { return &s.StoreURL },
		},
		{
			Key: "seeds", Allowed: allowedSeeds,
			Usage: "peer addresses of some storage nodes, through which this one finds the others while the store is out of reach",
			field: func(s *Storage) any { return &s.Seeds },
		},
	}
}

// storageLimitOptions returns the options for configuration delay, key revocation,
// tolerated losses and sharding.
func storageLimitOptions() []OptionOf[Storage] {
	return []OptionOf[Storage]{
		{
			Key: "apply_limit", Default: "2s", Allowed: allowedDuration("100ms", "1m"),
			Usage: "time in which a new configuration must be in force at gateways, which follow it through storage nodes",
			field: func(s *Storage) any { return &s.ApplyLimit },
		},
		{
			Key: "revoke_limit", Default: "0s", Allowed: allowedDuration("0s", "1h"),
			Usage: usageRevokeLimit,
			field: func(s *Storage) any { return &s.RevokeLimit },
		},
		{
			Key: "losses", Default: "1", Allowed: "whole number from 0 to 3",
			Usage: "how many storage nodes may be lost at once; a replica set has twice as many members and one",
			field: func(s *Storage) any { return &s.Losses },
		},
		{
			Key: "shards", Default: "4", Allowed: "whole number from 1 to 4096",
			Usage: "least number of shards when the replica sets are founded; there are more where there are many storage nodes",
			field: func(s *Storage) any { return &s.Shards },
		},
	}
}

// storageProcessOptions returns the options for the data folder, memory and logging.
func storageProcessOptions() []OptionOf[Storage] {
	return []OptionOf[Storage]{
		{
			Key: "data_folder", Required: true, Allowed: "absolute path",
			Usage: "folder for replica state",
			field: func(s *Storage) any { return &s.DataFolder },
		},
		{
			Key: "memory_limit", Default: "256MiB", Allowed: allowedMemory, Usage: usageMemory,
			field: func(s *Storage) any { return &s.MemoryLimit },
		},
		{
			Key: "log_level", Default: "info", Allowed: allowedLogLevel, Usage: usageLogLevel,
			field: func(s *Storage) any { return &s.LogLevel },
		},
	}
}
