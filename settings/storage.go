package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/spf13/pflag"
)

// Storage are the settings of a storage node. LoadStorage returns them complete
// and checked. StorageOptions describes each key.
type Storage struct {
	// Name is the node's name, unique in the deployment.
	Name string `koanf:"name" validate:"required,name"`
	// Zone is the zone whose failure takes this node with it.
	Zone string `koanf:"zone" validate:"required,name"`
	// PeerListen is where gateways and other storage nodes reach this one.
	PeerListen netip.AddrPort `koanf:"peer_listen" validate:"required"`
	// OperatorListen serves /metrics, /healthz and /readyz.
	OperatorListen netip.AddrPort `koanf:"operator_listen" validate:"required"`
	// StoreURL is the base URL of the store of the directory.
	StoreURL string `koanf:"store_url" validate:"required,base_url"`
	// Seeds are peer addresses of other storage nodes.
	Seeds []netip.AddrPort `koanf:"seeds" validate:"max=64"`
	// ApplyLimit is the time within which a new configuration must be in force at
	// gateways.
	ApplyLimit time.Duration `koanf:"apply_limit" validate:"min=100ms,max=1m"`
	// RevokeLimit is how long after its removal gateways may take a key for valid;
	// zero for no bound beside ApplyLimit.
	RevokeLimit time.Duration `koanf:"revoke_limit" validate:"min=0s,max=1h"`
	// Losses is how many storage nodes may be lost at once.
	Losses int `koanf:"losses" validate:"min=0,max=3"`
	// Shards is the number of shards; it counts when the sets are founded.
	Shards int `koanf:"shards" validate:"min=1,max=4096"`
	// DataFolder keeps the node's replica state.
	DataFolder string `koanf:"data_folder" validate:"required,absolute_path"`
	// MemoryLimit is what the process may use.
	MemoryLimit ByteSize `koanf:"memory_limit" validate:"min=16777216"`
	// LogLevel is the least severe level that is logged.
	LogLevel string `koanf:"log_level" validate:"oneof=debug info warn error"`
}

// ReplicationFactor is the number of members of a replica set: a majority must
// be left after the losses.
func (s Storage) ReplicationFactor() int { return 2*s.Losses + 1 }

// LoadStorage reads and checks a storage node's settings as Load does those of serve.
func LoadStorage(path string, flags *pflag.FlagSet) (Storage, error) {
	return newLoader(path, flags, StorageOptions()).load(checkStoragePairs)
}

// checkStoragePairs refuses one address for both listeners.
func checkStoragePairs(l *loader[Storage], loaded Storage) error {
	if collide(loaded.PeerListen, loaded.OperatorListen) {
		problem := fmt.Sprintf("%v contradicts peer_listen, which is %v", loaded.OperatorListen, loaded.PeerListen)
		return l.fault(l.option("operator_listen"), problem)
	}
	return nil
}

// StorageOptions lists every option in the order of the documentation.
func StorageOptions() []OptionOf[Storage] {
	return slices.Concat(
		storageAddressOptions(),
		storageLimitOptions(),
		storageProcessOptions(),
	)
}

// storageAddressOptions say who the storage node is, where it listens and whom it asks.
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

// storageLimitOptions say how soon configurations have to be passed on, and what may be lost.
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

// storageProcessOptions are about the process itself.
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
