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

// Table answers which route a request takes. It is only read.
type Table struct {
	configuration Configuration
	// hosts lists each host's routes, the longest prefix first.
	hosts   map[string][]*Route
	tenants tenant.Directory
}

// NewTable checks the configuration and builds its table. It fails with the first
// contradiction: a route without a host, prefix, timeout or service, a service that isn't
// configured, two tenants with one name or key.
func NewTable(configuration Configuration) (*Table, error) {
	if err := configuration.check(); err != nil {
		return nil, err
	}
	tenants, err := tenant.NewDirectory(configuration.Tenants)
	if err != nil {
		return nil, err
	}
	table := &Table{configuration: configuration, hosts: make(map[string][]*Route), tenants: tenants}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return table, nil
}

// Version is the version of the configuration.
func (t *Table) Version() int64 { return t.configuration.Version }

// Limits bound callers' requests.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// Routes is how many routes the table has.
func (t *Table) Routes() int { return len(t.configuration.Routes) }

// Service returns the service of the name; a zero one where there is none.
func (t *Table) Service(name string) Service {
	for _, service := range t.configuration.Services {
		if service.Name == name {
			return service
		}
	}
	return Service{}
}

// NeedsKey tells that requests of the route have to carry a tenant's key.
func (t *Table) NeedsKey(route *Route) bool { return t.KeysRequired() && !route.Public }

// KeysRequired tells that there are tenants.
func (t *Table) KeysRequired() bool { return t.configuration.KeysRequired }

// Tenant returns the tenant that has the key; found is false where none has.
func (t *Table) Tenant(key tenant.Digest) (owner *tenant.Tenant, found bool) {
	return t.tenants.Find(key)
}

// Match returns the route of the host with the longest prefix that the path begins with;
// found is false where there is none. The path is as it was sent, still escaped and
// without a query.
func (t *Table) Match(host, path string) (route *Route, found bool) {
	for _, candidate := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, candidate.PathPrefix) {
			return candidate, true
		}
	}
	return nil, false
}

// hostName strips the port and folds the case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Pick returns the service for a request by the weights of the targets, given a number
// from 0 (included) to 1 (excluded) that is drawn for it. Requests that belong together
// bring the same number and so stay with one service.
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	rest := draw * total
	for _, target := range r.Targets {
		if rest < target.Weight {
			return target.Service
		}
		rest -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// InForce publishes the newest table. It is safe for concurrent use; reading takes no lock.
type InForce struct {
	current atomic.Pointer[Table]
	// mutex is held while a table is installed.
	mutex sync.Mutex
}

// Table returns the table in force; nil before the first.
func (f *InForce) Table() *Table { return f.current.Load() }

// Install puts the table in force unless its version is older than, or the same
// as, the one in force, and tells whether it did.
func (f *InForce) Install(table *Table) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if current := f.current.Load(); current != nil && table.Version() <= current.Version() {
		return false
	}
	f.current.Store(table)
	return true
}
