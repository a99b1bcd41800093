package quarantine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marblering/marblering/coordination/register"
)

var errLost = errors.New("the message was lost")

// cluster is a replica set of storage nodes without a network. Calls may be concurrent.
type cluster struct {
	mutex   sync.Mutex
	now     time.Time
	started uint64
	clients uint64
	members []string
	// isUnlisted hides the members.
	isUnlisted atomic.Bool
	// tables holds the tables of the nodes that run.
	tables map[string]*Table
	// lose reports whether the next message to a node or its answer is lost.
	lose func(address string) (request, response bool)
	// quarantined holds the requests that a table reported as quarantined.
	quarantined []Fingerprint
}

func newCluster(size int) *cluster {
	c := &cluster{
		now: time.Unix(1_000_000, 0), tables: make(map[string]*Table),
		lose: func(string) (bool, bool) { return false, false },
	}
	for index := range size {
		c.members = append(c.members, fmt.Sprint("node-", index))
		c.start(c.members[index])
	}
	return c
}

func (c *cluster) clock() time.Time { return c.now }

// nextID returns an id for a gateway.
func (c *cluster) nextID() uint64 {
	c.clients++
	return c.clients
}

// start starts a node with an empty table.
func (c *cluster) start(address string) {
	c.started++
	c.tables[address] = NewTable(c.started, c.clock, func(f Fingerprint, _ []string) { c.quarantined = append(c.quarantined, f) })
}

func (c *cluster) stop(address string) { delete(c.tables, address) }

// IsListed implements Views.
func (c *cluster) IsListed() bool { return !c.isUnlisted.Load() }

// View implements Views.
func (c *cluster) View(uint32) (register.View, bool) {
	view := register.View{}
	if !c.IsListed() {
		return view, false
	}
	for _, address := range c.members {
		view.Members = append(view.Members, register.Member{Node: address, Address: address})
	}
	return view, len(c.members) > 0
}

// Locate implements Views.
func (c *cluster) Locate(string) uint32 { return 0 }

// ask calls the table of a node, unless a message is lost.
func (c *cluster) ask(address string, call func(*Table)) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	requestLost, responseLost := c.lose(address)
	table := c.tables[address]
	if table == nil || requestLost {
		return errLost
	}
	call(table)
	if responseLost {
		return errLost
	}
	return nil
}

// ReportCrash implements Nodes.
func (c *cluster) ReportCrash(_ context.Context, address string, crash Crash) (record Record, err error) {
	err = c.ask(address, func(t *Table) { record = t.Report(crash) })
	return record, err
}

// NoteSend implements Nodes.
func (c *cluster) NoteSend(_ context.Context, address string, send Send) (before, after Record, err error) {
	err = c.ask(address, func(t *Table) { before, after = t.NoteSend(send) })
	return before, after, err
}

// DropSend implements Nodes.
func (c *cluster) DropSend(_ context.Context, address string, fingerprint Fingerprint, id SendID) error {
	return c.ask(address, func(t *Table) { t.DropSend(fingerprint, id) })
}

// ClearCrashes implements Nodes.
func (c *cluster) ClearCrashes(_ context.Context, address string, fingerprint Fingerprint) error {
	return c.ask(address, func(t *Table) { t.Clear(fingerprint) })
}

// FindCrashes implements Nodes.
func (c *cluster) FindCrashes(_ context.Context, address string, fingerprint Fingerprint) (record Record, err error) {
	err = c.ask(address, func(t *Table) { record = t.Find(fingerprint) })
	return record, err
}

// WatchCrashes implements Nodes.
func (c *cluster) WatchCrashes(ctx context.Context, address string, follower FollowerID, from Cursor, _ time.Duration) (changes Changes, err error) {
	err = c.ask(address, func(t *Table) { changes = t.Watch(ctx, follower, from, 0) })
	return changes, err
}
