package routetable

import (
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/tenant"
)

// Kind says how often a request of a route may be run.
type Kind int

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered by a series of events and run at most once,
	// unless the route is resumable.
	Stream
)

// String names the kind in log lines.
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
	// Service is the service's name.
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route sends the requests of one host below one path to services.
type Route struct {
	Name string
	// Host is compared without its port and without regard to case.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest that a request may take; above zero.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is worth most.
	TargetLatency time.Duration
	// MaxGap is the longest pause between two events of a stream that callers
	// find acceptable; zero where none is set.
	MaxGap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	Targets  []Target
	// Attempts is how many back ends one request may be sent to.
	Attempts int
	// Affinity is set where a back end works faster on what it has seen lately.
	Affinity bool
	// Resumable streams may be continued by another back end.
	Resumable bool
	// Retained routes have their turns kept for later ones.
	Retained bool
	// Retention is how long turns are kept.
	Retention time.Duration
	// Public routes need no key, also where there are tenants.
	Public bool
}

// Repeatable tells whether a request that may have run may be run again.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Service is a pool of back ends that do the same work.
type Service struct {
	Name string
	// TokensPerEvent is how many tokens one event of a stream stands for; zero
	// for back ends that generate none.
	TokensPerEvent uint64
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest sizes taken; zero for no limit.
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout bounds the arrival of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may rest between two requests.
	IdleTimeout time.Duration
}

// Configuration is one version of everything that a gateway serves by.
type Configuration struct {
	// Version rises with each change and never falls.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// KeysRequired is set where callers have to prove which tenant they belong to.
	KeysRequired bool
	Tenants      []tenant.Tenant
}

// check returns the first contradiction.
func (c *Configuration) check() error {
	if c.Version <= 0 {
		return merry.Errorf("version %d isn't above zero", c.Version)
	}
	services := make(map[string]bool, len(c.Services))
	for _, service := range c.Services {
		services[service.Name] = true
	}
	for index := range c.Routes {
		if err := c.Routes[index].check(services); err != nil {
			return merry.Prependf(err, "route %q", c.Routes[index].Name)
		}
	}
	return nil
}

// check returns the first contradiction in a route.
func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "":
		return merry.New("no host")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return merry.Errorf("path prefix %q doesn't begin and end with a slash", r.PathPrefix)
	case r.Timeout <= 0:
		return merry.Errorf("timeout %s isn't above zero", r.Timeout)
	case r.Attempts < 1:
		return merry.Errorf("%d attempts", r.Attempts)
	case len(r.Targets) == 0:
		return merry.New("no service")
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
