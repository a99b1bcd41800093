package routetable_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/coordination/routetable"
)

func newRoute(name, prefix string) routetable.Route {
	return routetable.Route{
		Name: name, Host: "shop.example", PathPrefix: prefix, Timeout: time.Second, Attempts: 1,
		Targets: []routetable.Target{{Service: "app", Weight: 1}},
	}
}

func newTable(t testingT, version int64, routes ...routetable.Route) *routetable.Table {
	built, err := routetable.NewTable(routetable.Configuration{Version: version, Services: []routetable.Service{{Name: "app"}}, Routes: routes})
	assert.NilError(t, err)
	return built
}

// testingT is the common interface of testing.T and rapid.T.
type testingT interface {
	Helper()
	Log(...any)
	FailNow()
	Fail()
}

func Example() {
	built, err := routetable.NewTable(routetable.Configuration{
		Version: 1, Services: []routetable.Service{{Name: "app"}},
		Routes: []routetable.Route{newRoute("all", "/"), newRoute("cart", "/cart/")},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	var inForce routetable.ActiveTable
	inForce.Install(built)
	found, _ := inForce.Table().Match("Shop.Example:80", "/cart/7")
	fmt.Println(found.Name)
	// Output: cart
}

func TestMatch(t *testing.T) {
	built := newTable(t, 1, newRoute("a", "/a/"), newRoute("ab", "/a/b/"), newRoute("c", "/c/"))
	for path, want := range map[string]string{
		"/a/": "a", "/a/x": "a", "/a/b": "a", "/a/b/": "ab", "/a/b/c": "ab", "/c/x": "c", "/c": "", "/": "", "/A/x": "",
	} {
		found, ok := built.Match("shop.example", path)
		assert.Equal(t, ok, want != "", path)
		if ok {
			assert.Equal(t, found.Name, want, path)
		}
	}
	_, ok := built.Match("other.example", "/a/x")
	assert.Assert(t, !ok)
}

// TestMatchIsTheLongestPrefix compares Match with a linear search.
func TestMatchIsTheLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a/", "b/", "ab/"})
		var routes []routetable.Route
		for index, parts := range rapid.SliceOfN(rapid.SliceOfN(segment, 0, 3), 1, 6).Draw(t, "routes") {
			routes = append(routes, newRoute(fmt.Sprint(index), "/"+strings.Join(parts, "")))
		}
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "path"), "")
		longest := -1
		for _, candidate := range routes {
			if strings.HasPrefix(path, candidate.PathPrefix) {
				longest = max(longest, len(candidate.PathPrefix))
			}
		}
		found, ok := newTable(t, 1, routes...).Match("shop.example", path)
		assert.Equal(t, ok, longest >= 0)
		if ok {
			assert.Equal(t, len(found.PathPrefix), longest)
		}
	})
}

func TestInstallRejectsOlderVersions(t *testing.T) {
	var inForce routetable.ActiveTable
	assert.Assert(t, inForce.Table() == nil)
	assert.Assert(t, inForce.Install(newTable(t, 5)))
	assert.Assert(t, !inForce.Install(newTable(t, 4)))
	assert.Assert(t, !inForce.Install(newTable(t, 5)))
	assert.Equal(t, inForce.Table().Version(), int64(5))
	assert.Assert(t, inForce.Install(newTable(t, 9)))
}

func TestNewTableRejectsInvalidConfigurations(t *testing.T) {
	cases := map[string]func(*routetable.Configuration){
		"version 0":            func(c *routetable.Configuration) { c.Version = 0 },
		"host is missing":      func(c *routetable.Configuration) { c.Routes[0].Host = "" },
		"path prefix \"/a\"":   func(c *routetable.Configuration) { c.Routes[0].PathPrefix = "/a" },
		"timeout 0s":           func(c *routetable.Configuration) { c.Routes[0].Timeout = 0 },
		"at least 1, got 0":    func(c *routetable.Configuration) { c.Routes[0].Attempts = 0 },
		"no target service":    func(c *routetable.Configuration) { c.Routes[0].Targets = nil },
		"unknown service":      func(c *routetable.Configuration) { c.Services = nil },
		"weight -1 of service": func(c *routetable.Configuration) { c.Routes[0].Targets[0].Weight = -1 },
	}
	for want, invalidate := range cases {
		configuration := routetable.Configuration{Version: 1, Services: []routetable.Service{{Name: "app"}}, Routes: []routetable.Route{newRoute("r", "/a/")}}
		invalidate(&configuration)
		_, err := routetable.NewTable(configuration)
		assert.ErrorContains(t, err, want)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	split := routetable.Route{Targets: []routetable.Target{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	for fraction, want := range map[float64]string{0: "a", 0.89: "a", 0.9: "b", 0.999: "b"} {
		assert.Equal(t, split.Pick(fraction), want)
	}
}

// TestRouteOfAHostWithAPortMatches guards against a route that serves nothing since its host names
// a port: ports count neither in routes nor in requests.
func TestRouteOfAHostWithAPortMatches(t *testing.T) {
	for _, named := range []string{"Shop.Example:8080", "[2001:db8::1]:80"} {
		route := newRoute("a", "/a/")
		route.Host = named
		built := newTable(t, 1, route)
		host, _, err := net.SplitHostPort(named)
		assert.NilError(t, err)
		for _, requested := range []string{named, net.JoinHostPort(host, "9"), strings.ToLower(named)} {
			_, found := built.Match(requested, "/a/x")
			assert.Assert(t, found, "route of %q, request to %q", named, requested)
		}
	}
}
