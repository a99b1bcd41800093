package objectstore

import (
	"maps"
	"net"
	"net/http"
	"sync"
)

// ReaderHeader names the client, so that readers can be counted where many
// share one address.
const ReaderHeader = "Marblering-Node"

// Stats is the answer of GET /control/stats.
type Stats struct {
	Revision     uint64 `json:"revision"`
	WatchersNow  int    `json:"watchers_now"`
	WatchersPeak int    `json:"watchers_peak"`
	// ReadersNow counts the distinct clients with an open read or watch.
	ReadersNow  int `json:"readers_now"`
	ReadersPeak int `json:"readers_peak"`
	// ReadersTotal counts the distinct clients that ever read or watched.
	ReadersTotal int `json:"readers_total"`
	// Requests counts requests by what they asked for.
	Requests map[string]uint64 `json:"requests"`
}

// request kinds of Stats.Requests.
const (
	requestList     = "list"
	requestListAll  = "list_all"
	requestGet      = "get"
	requestPut      = "put"
	requestDelete   = "delete"
	requestWatch    = "watch"
	requestMachines = "machines"
)

// counters counts clients and requests.
type counters struct {
	mutex    sync.Mutex
	watchers int
	stats    Stats
	open     map[string]int
	seen     map[string]bool
}

func newCounters() *counters {
	return &counters{
		stats: Stats{Requests: make(map[string]uint64)},
		open:  make(map[string]int),
		seen:  make(map[string]bool),
	}
}

func (c *counters) request(kind string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stats.Requests[kind]++
}

// beginRead counts a client as a reader until the returned function is called.
func (c *counters) beginRead(r *http.Request) func() {
	name := readerName(r)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seen[name] = true
	c.open[name]++
	c.stats.ReadersPeak = max(c.stats.ReadersPeak, len(c.open))
	return func() { c.endRead(name) }
}

func (c *counters) endRead(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open[name]--
	if c.open[name] == 0 {
		delete(c.open, name)
	}
}

// beginWatch counts a watcher until the returned function is called.
func (c *counters) beginWatch() func() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watchers++
	c.stats.WatchersPeak = max(c.stats.WatchersPeak, c.watchers)
	return c.endWatch
}

func (c *counters) endWatch() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watchers--
}

func (c *counters) snapshot(revision uint64) Stats {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	result := c.stats
	result.Revision = revision
	result.WatchersNow = c.watchers
	result.ReadersNow = len(c.open)
	result.ReadersTotal = len(c.seen)
	result.Requests = maps.Clone(c.stats.Requests)
	return result
}

func readerName(r *http.Request) string {
	if name := r.Header.Get(ReaderHeader); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
