package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/spf13/pflag"
)

// Gateway are the settings of a gateway. LoadGateway returns them complete and
// checked. GatewayOptions describes each key.
type Gateway struct {
	// Name is the node's name, unique in the deployment.
	Name string `koanf:"name" validate:"required,name"`
	// Zone is the zone whose failure takes this node with it.
	Zone string `koanf:"zone" validate:"required,name"`
	// CallerListen serves callers.
	CallerListen netip.AddrPort `koanf:"caller_listen" validate:"required"`
	// OperatorListen serves /metrics, /healthz and readiness.
	OperatorListen netip.AddrPort `koanf:"operator_listen" validate:"required"`
	// ReadyPath answers 200 while the gateway can serve.
	ReadyPath string `koanf:"ready_path" validate:"url_path"`
	// StoreURL is the base URL of the store of configuration and back ends.
	StoreURL string `koanf:"store_url" validate:"required,base_url"`
	// Seeds are peer addresses of storage nodes, which are asked while the store
	// is out of reach.
	Seeds []netip.AddrPort `koanf:"seeds" validate:"max=64"`
	// ApplyLimit is the time within which a new configuration must be in force.
	ApplyLimit time.Duration `koanf:"apply_limit" validate:"min=100ms,max=1m"`
	// UndisturbedTime is how long the store must have answered before ApplyLimit
	// binds.
	UndisturbedTime time.Duration `koanf:"undisturbed_time" validate:"min=0s,max=1m"`
	// RevokeLimit is how long after its removal a key may be taken for valid; zero for
	// no bound beside ApplyLimit.
	RevokeLimit time.Duration `koanf:"revoke_limit" validate:"min=0s,max=1h"`
	// QuotaWindow is the span over which the requests of a tenant are counted.
	QuotaWindow time.Duration `koanf:"quota_window" validate:"min=1s,max=1h"`
	// QuotaOver is the part of its quota by which a tenant may exceed it within such a
	// span.
	QuotaOver float64 `koanf:"quota_over" validate:"min=0,max=1"`
	// QuotaSlack is how many requests may come on top within such a span.
	QuotaSlack int `koanf:"quota_slack" validate:"min=0,max=100000"`
	// DrainTimeout is how long a planned stop may take before the process is killed.
	DrainTimeout time.Duration `koanf:"drain_timeout" validate:"min=1s,max=25h"`
	// MemoryLimit is what the process may use.
	MemoryLimit ByteSize `koanf:"memory_limit" validate:"min=16777216"`
	// LogLevel is the least severe level that is logged.
	LogLevel string `koanf:"log_level" validate:"oneof=debug info warn error"`
}

// LoadGateway reads and checks a gateway's settings as Load does those of serve.
func LoadGateway(path string, flags *pflag.FlagSet) (Gateway, error) {
	return newLoader(path, flags, GatewayOptions()).load(checkGatewayPairs)
}

// checkGatewayPairs refuses one address for both listeners.
func checkGatewayPairs(l *loader[Gateway], loaded Gateway) error {
	if collide(loaded.CallerListen, loaded.OperatorListen) {
		problem := fmt.Sprintf("%v contradicts caller_listen, which is %v", loaded.OperatorListen, loaded.CallerListen)
		return l.fault(l.option("operator_listen"), problem)
	}
	return nil
}

// GatewayOptions lists every option in the order of the documentation.
func GatewayOptions() []OptionOf[Gateway] {
	return slices.Concat(
		gatewayAddressOptions(),
		gatewayLimitOptions(),
		gatewayProcessOptions(),
	)
}

// gatewayAddressOptions say who the gateway is, where it listens and whom it asks.
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

// gatewayLimitOptions say how soon configurations, keys and quotas have to be minded.
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

// gatewayProcessOptions are about the process itself.
func gatewayProcessOptions() []OptionOf[Gateway] {
	return []OptionOf[Gateway]{
		{
			Key: "drain_timeout", Default: "8s", Allowed: allowedDuration("1s", "25h"),
			Usage: "how long a planned stop may take; then the process is killed",
			field: func(s *Gateway) any { return &s.DrainTimeout },
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
