package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/spf13/pflag"
)

// Gateway holds the settings of a gateway. [LoadGateway] returns them with defaults applied
// and validated. [GatewayOptions] describes each key.
type Gateway struct {
	// Name is the node's name, unique in the deployment.
	Name string `koanf:"name" validate:"required,name"`
	// Zone is the failure domain that the node belongs to.
	Zone string `koanf:"zone" validate:"required,name"`
	// CallerListen is the address of the caller API.
	CallerListen netip.AddrPort `koanf:"caller_listen" validate:"required"`
	// OperatorListen is the address of /metrics, /healthz and the readiness check.
	OperatorListen netip.AddrPort `koanf:"operator_listen" validate:"required"`
	// ReadyPath is the path of the readiness check.
	ReadyPath string `koanf:"ready_path" validate:"url_path"`
	// StoreURL is the base URL of the store that holds configurations and back ends.
	StoreURL string `koanf:"store_url" validate:"required,base_url"`
	// Seeds are peer addresses of storage nodes, used as a fallback while the store is
	// unreachable.
	Seeds []netip.AddrPort `koanf:"seeds" validate:"max=64"`
	// ApplyLimit is the time within which a new configuration must take effect.
	ApplyLimit time.Duration `koanf:"apply_limit" validate:"min=100ms,max=1m"`
	// UndisturbedTime is how long the store must have been responding before ApplyLimit
	// applies.
	UndisturbedTime time.Duration `koanf:"undisturbed_time" validate:"min=0s,max=1m"`
	// RevokeLimit is how long a removed key may still be accepted; zero means that only
	// ApplyLimit applies.
	RevokeLimit time.Duration `koanf:"revoke_limit" validate:"min=0s,max=1h"`
	// QuotaWindow is the time window over which a tenant's requests are counted.
	QuotaWindow time.Duration `koanf:"quota_window" validate:"min=1s,max=1h"`
	// QuotaOver is the fraction of its quota by which a tenant may exceed it within
	// QuotaWindow.
	QuotaOver float64 `koanf:"quota_over" validate:"min=0,max=1"`
	// QuotaSlack is the number of requests allowed beyond QuotaOver within QuotaWindow.
	QuotaSlack int `koanf:"quota_slack" validate:"min=0,max=100000"`
	// DrainTimeout bounds a graceful shutdown, after which the process is killed.
	DrainTimeout time.Duration `koanf:"drain_timeout" validate:"min=1s,max=25h"`
	// AnswerSizeLimit is the largest body of an answer that is passed on.
	AnswerSizeLimit ByteSize `koanf:"answer_size_limit" validate:"min=1048576,max=1099511627776"`
	// MemoryLimit bounds the memory of the process.
	MemoryLimit ByteSize `koanf:"memory_limit" validate:"min=16777216"`
	// LogLevel is the minimum level that is logged.
	LogLevel string `koanf:"log_level" validate:"oneof=debug info warn error"`
}

// LoadGateway loads and validates the settings of a gateway like [Load] those of a node.
func LoadGateway(path string, flags *pflag.FlagSet) (Gateway, error) {
	return newLoader(path, flags, GatewayOptions()).load(checkGatewayListeners)
}

// checkGatewayListeners rejects listeners whose addresses conflict.
func checkGatewayListeners(l *loader[Gateway], loaded Gateway) error {
	if addressesConflict(loaded.CallerListen, loaded.OperatorListen) {
		problem := fmt.Sprintf("%v conflicts with caller_listen, which is %v", loaded.OperatorListen, loaded.CallerListen)
		return l.optionError(l.option("operator_listen"), problem)
	}
	return nil
}

// GatewayOptions returns the options of a gateway in the order of the documentation.
func GatewayOptions() []OptionOf[Gateway] {
	return slices.Concat(
		gatewayAddressOptions(),
		gatewayLimitOptions(),
		gatewayProcessOptions(),
	)
}

// gatewayAddressOptions returns the options for identity, listen addresses, store and
// seeds.
func gatewayAddressOptions() []OptionOf[Gateway] {
	return []OptionOf[Gateway]{
		{
			Key: "name", Required: true, Allowed: allowedName,
			Usage: usageName,
			field: func(s *Gateway) any { return &s.Name },
		},
		{
			Key: "zone", Required: true, Allowed: allowedName,
			Usage: usageZone,
			field: func(s *Gateway) any { return &s.Zone },
		},
		{
			Key: "caller_listen", Required: true, Allowed: allowedAddress,
			Usage: "address that serves callers",
			field: func(s *Gateway) any { return &s.CallerListen },
		},
		{
			Key: "operator_listen", Required: true, Allowed: allowedAddress,
			Usage: "address that serves /metrics, /healthz and readiness",
			field: func(s *Gateway) any { return &s.OperatorListen },
		},
		{
			Key: "ready_path", Default: "/readyz", Allowed: "path that begins with a slash",
			Usage: "path that answers 200 while the gateway can serve, otherwise 503",
			field: func(s *Gateway) any { return &s.ReadyPath },
		},
		{
			Key: "store_url", Required: true, Allowed: allowedStoreURL,
			Usage: "base URL of the store of configuration and back ends",
			field: func(s *Gateway) any { return &s.StoreURL },
		},
		{
			Key: "seeds", Allowed: allowedSeeds,
			Usage: "peer addresses of some storage nodes, asked for what they had from the store while it is out of reach",
			field: func(s *Gateway) any { return &s.Seeds },
		},
	}
}

// gatewayLimitOptions returns the options that bound configuration delay, key revocation
// and quota overuse.
func gatewayLimitOptions() []OptionOf[Gateway] {
	return []OptionOf[Gateway]{
		{
			Key: "apply_limit", Default: "2s", Allowed: allowedDuration("100ms", "1m"),
			Usage: "time in which a new configuration must be in force",
			field: func(s *Gateway) any { return &s.ApplyLimit },
		},
		{
			Key: "undisturbed_time", Default: "0s", Allowed: allowedDuration("0s", "1m"),
			Usage: "how long the store must have answered before apply_limit binds; both together bound how long a silent store may go unnoticed",
			field: func(s *Gateway) any { return &s.UndisturbedTime },
		},
		{
			Key: "revoke_limit", Default: "0s", Allowed: allowedDuration("0s", "1h"),
			Usage: usageRevokeLimit,
			field: func(s *Gateway) any { return &s.RevokeLimit },
		},
		{
			Key: "quota_window", Default: "5s", Allowed: allowedDuration("1s", "1h"),
			Usage: "span over which the requests of a tenant are counted at all gateways together",
			field: func(s *Gateway) any { return &s.QuotaWindow },
		},
		{
			Key: "quota_over", Default: "0.1", Allowed: "number from 0 to 1",
			Usage: "part of its quota by which a tenant may exceed it within quota_window",
			field: func(s *Gateway) any { return &s.QuotaOver },
		},
		{
			Key: "quota_slack", Default: "20", Allowed: "whole number from 0 to 100000",
			Usage: "requests that a tenant may have served within quota_window beyond that",
			field: func(s *Gateway) any { return &s.QuotaSlack },
		},
	}
}

// gatewayProcessOptions returns the options for draining, memory and logging.
func gatewayProcessOptions() []OptionOf[Gateway] {
	return []OptionOf[Gateway]{
		{
			Key: "drain_timeout", Default: "8s", Allowed: allowedDuration("1s", "25h"),
			Usage: "how long a planned stop may take; then the process is killed",
			field: func(s *Gateway) any { return &s.DrainTimeout },
		},
		{
			Key: "answer_size_limit", Default: "1GiB", Allowed: "size with unit from 1MiB to 1024GiB; units B, KiB, MiB, GiB",
			Usage: "largest body of an answer of a back end; a longer one is cut by closing the connection to the caller, and the back end counts as failed",
			field: func(s *Gateway) any { return &s.AnswerSizeLimit },
		},
		{
			Key: "memory_limit", Default: "256MiB", Allowed: allowedMemory,
			Usage: usageMemory,
			field: func(s *Gateway) any { return &s.MemoryLimit },
		},
		{
			Key: "log_level", Default: "info", Allowed: allowedLogLevel,
			Usage: usageLogLevel,
			field: func(s *Gateway) any { return &s.LogLevel },
		},
	}
}
