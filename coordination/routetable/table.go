package routetable

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/marblering/marblering/coordination/tenant"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	configuration Configuration
	// hosts holds the routes of each host, the longest prefix first.
	hosts   map[string][]*Route
	tenants tenant.Directory
}

// NewTable validates the configuration and builds its table. It returns the first error,
// such as a route without a host, prefix, timeout or service, an unknown service, or two
// tenants with the same name or key.
func NewTable(configuration Configuration) (*Table, error) {
	if err := configuration.validate(); err != nil {
		return nil, err
	}
	tenants, err := tenant.NewDirectory(configuration.Tenants)
	if err != nil {
		return nil, err
	}
	table := &Table{configuration: configuration, hosts: make(map[string][]*Route), tenants: tenants}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		host := normalizeHost(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return table, nil
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.configuration.Version }

// Limits returns the limits of client input.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.configuration.Routes) }

// Service returns the service with the name, or the zero value if there is none.
func (t *Table) Service(name string) Service {
	for _, service := range t.configuration.Services {
		if service.Name == name {
			return service
		}
	}
	return Service{}
}

// NeedsKey reports whether requests of the route must carry the key of a tenant.
func (t *Table) NeedsKey(route *Route) bool { return t.KeysRequired() && !route.Public }

// KeysRequired reports whether callers must authenticate, except on public routes.
func (t *Table) KeysRequired() bool { return t.configuration.KeysRequired }

// Tenant returns the tenant with the key.
func (t *Table) Tenant(key tenant.Digest) (owner *tenant.Tenant, found bool) {
	return t.tenants.Find(key)
}

// Match returns the route of the host with the longest prefix of the path. The path is
// escaped, as it was received, and has no query.
func (t *Table) Match(host, path string) (route *Route, found bool) {
	for _, candidate := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, candidate.PathPrefix) {
			return candidate, true
		}
	}
	return nil, false
}

// normalizeHost strips the port and converts the name to lower case.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Pick returns a service in proportion to the weights of the targets. fraction is a number
// in [0, 1); requests with the same fraction get the same service.
func (r *Route) Pick(fraction float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := fraction * total
	for _, target := range r.Targets {
		if remaining < target.Weight {
			return target.Service
		}
		remaining -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// ActiveTable holds the newest table. It is safe for concurrent use; reads take no lock.
type ActiveTable struct {
	current atomic.Pointer[Table]
	// mutex is held while a table is installed.
	mutex sync.Mutex
}

// Table returns the newest table, or nil if none was installed.
func (f *ActiveTable) Table() *Table { return f.current.Load() }

// Install replaces the table if the version of the new one is higher, and reports whether
// it did.
func (f *ActiveTable) Install(table *Table) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if current := f.current.Load(); current != nil && table.Version() <= current.Version() {
		return false
	}
	f.current.Store(table)
	return true
}
