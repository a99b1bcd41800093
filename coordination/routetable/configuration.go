package routetable

import (
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/tenant"
)

// Kind says how often a request of a route may be processed.
type Kind int

// Kinds of routes.
const (
	// Safe requests may be processed more than once.
	Safe Kind = iota
	// Unsafe requests are processed at most once.
	Unsafe
	// Stream requests get a stream of events as response and are processed at most once,
	// unless the route is resumable.
	Stream
)

// String returns the name of the kind for log lines.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Target is one service of a route and its share of the route's requests.
type Target struct {
	// Service is the name of the service.
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// Route maps requests of one host and path prefix to services.
type Route struct {
	Name string
	// Host is matched without the port and regardless of case.
	Host string
	// PathPrefix starts and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout limits the duration of a request; always positive.
	Timeout time.Duration
	// TargetLatency is the time within which a response has its full value.
	TargetLatency time.Duration
	// MaxGap is the longest acceptable pause between two events of a stream; zero if
	// unset.
	MaxGap time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	Targets  []Target
	// Attempts is the maximum number of backends that a request is sent to.
	Attempts int
	// Affinity is set if backends are faster with context from recent requests.
	Affinity bool
	// Resumable streams may be continued by another backend.
	Resumable bool
	// Retained routes store their turns as context for later ones.
	Retained bool
	// Retention is how long turns are stored.
	Retention time.Duration
	// Public routes need no key even if KeysRequired is set.
	Public bool
}

// Repeatable reports whether a request that may have been processed may be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Service is a pool of equivalent backends.
type Service struct {
	Name string
	// TokensPerEvent is the number of tokens that one event of a stream stands for; zero
	// for backends that generate no tokens.
	TokensPerEvent uint64
}

// Limits restricts the size and duration of client input.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes; zero for no limit.
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout limits the time to read the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout limits the time that a connection is idle between two requests.
	IdleTimeout time.Duration
}

// Configuration is one version of the configuration of a gateway.
type Configuration struct {
	// Version increases with each change.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// KeysRequired is set if callers must authenticate with the key of a tenant.
	KeysRequired bool
	Tenants      []tenant.Tenant
}

// validate returns the first error in the configuration.
func (c *Configuration) validate() error {
	if c.Version <= 0 {
		return merry.Errorf("version %d must be positive", c.Version)
	}
	services := make(map[string]bool, len(c.Services))
	for _, service := range c.Services {
		services[service.Name] = true
	}
	for index := range c.Routes {
		if err := c.Routes[index].validate(services); err != nil {
			return merry.Prependf(err, "route %q", c.Routes[index].Name)
		}
	}
	return nil
}

// validate returns the first error in the route.
func (r *Route) validate(services map[string]bool) error {
	switch {
	case r.Host == "":
		return merry.New("host is missing")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return merry.Errorf("path prefix %q must start and end with a slash", r.PathPrefix)
	case r.Timeout <= 0:
		return merry.Errorf("timeout %s must be positive", r.Timeout)
	case r.Attempts < 1:
		return merry.Errorf("attempts must be at least 1, got %d", r.Attempts)
	case len(r.Targets) == 0:
		return merry.New("no target service")
	}
	for _, target := range r.Targets {
		if !services[target.Service] {
			return merry.Errorf("unknown service %q", target.Service)
		}
		if target.Weight < 0 {
			return merry.Errorf("weight %v of service %q is negative", target.Weight, target.Service)
		}
	}
	return nil
}
