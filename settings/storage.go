package settings

import (
	"net/netip"

	"github.com/spf13/pflag"
)

// Storage are the settings of a storage node. LoadStorage returns them complete
// and checked. StorageOptions describes each key.
type Storage struct {
	// Name is the node's name, unique in the deployment.
	Name string `koanf:"name" validate:"required,name"`
	// Zone is the zone whose failure takes this node with it.
	Zone string `koanf:"zone" validate:"required,name"`
	// OperatorListen serves /metrics, /healthz and /readyz.
	OperatorListen netip.AddrPort `koanf:"operator_listen" validate:"required"`
	// DataFolder keeps the node's replica state.
	DataFolder string `koanf:"data_folder" validate:"required,absolute_path"`
	// MemoryLimit is what the process may use.
	MemoryLimit ByteSize `koanf:"memory_limit" validate:"min=16777216"`
	// LogLevel is the least severe level that is logged.
	LogLevel string `koanf:"log_level" validate:"oneof=debug info warn error"`
}

// LoadStorage reads and checks a storage node's settings as Load does a node's.
func LoadStorage(path string, flags *pflag.FlagSet) (Storage, error) {
	none := func(*loader[Storage], Storage) error { return nil }
	return newLoader(path, flags, StorageOptions()).load(none)
}

// StorageOptions lists every option in the order of the documentation.
func StorageOptions() []OptionOf[Storage] {
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
			Key: "operator_listen", Required: true, Allowed: allowedAddress,
			Usage: "address that serves /metrics, /healthz and /readyz",
			field: func(s *Storage) any { return &s.OperatorListen },
		},
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
