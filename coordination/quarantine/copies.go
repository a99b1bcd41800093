package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

// copies are a gateway's copies of the tables of storage nodes. They are safe for
// concurrent use.
type copies struct {
	now func() time.Time
	// total is the number of requests in all copies.
	total atomic.Int64

	mutex  sync.Mutex
	byNode map[string]map[Fingerprint]copiedRecord
	// complete holds the nodes whose whole table was copied.
	complete map[string]bool
	sweptAt  time.Time
}

// copiedRecord is a record with the time until which it is kept.
type copiedRecord struct {
	Suspicion
	expires time.Time
}

func newCopies(now func() time.Time) *copies {
	return &copies{now: now, byNode: make(map[string]map[Fingerprint]copiedRecord), complete: make(map[string]bool)}
}

// apply changes the copy of the node's table.
func (c *copies) apply(node string, changes Changes) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	table := c.byNode[node]
	if table == nil || changes.IsFull {
		table = make(map[Fingerprint]copiedRecord)
		c.byNode[node] = table
	}
	if changes.IsFull {
		c.complete[node] = true
	}
	for _, record := range changes.Records {
		if record.Suspected == 0 {
			delete(table, record.Fingerprint)
			continue
		}
		table[record.Fingerprint] = copiedRecord{Suspicion: record.Suspicion, expires: c.now().Add(record.Remaining)}
	}
	c.updateTotal()
}

// drop forgets the copy of a node that isn't followed any more.
func (c *copies) drop(node string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.byNode, node)
	delete(c.complete, node)
	c.updateTotal()
}

// isEmpty reports whether no copy has a request.
func (c *copies) isEmpty() bool { return c.total.Load() == 0 }

// suspicion returns the most that a copy has of the request.
func (c *copies) suspicion(fingerprint Fingerprint) (most Suspicion) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	c.sweep(now)
	for _, table := range c.byNode {
		if known, found := table[fingerprint]; found && now.Before(known.expires) {
			most = most.Most(known.Suspicion)
		}
	}
	return most
}

// suspicionAt returns what the copy of a node has of the request.
func (c *copies) suspicionAt(node string, fingerprint Fingerprint) Suspicion {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known, found := c.byNode[node][fingerprint]; found && c.now().Before(known.expires) {
		return known.Suspicion
	}
	return Suspicion{}
}

// count returns the number of storage nodes whose whole table was copied.
func (c *copies) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.complete)
}

// updateTotal counts the requests in all copies. The mutex must be held.
func (c *copies) updateTotal() {
	total := 0
	for _, table := range c.byNode {
		total += len(table)
	}
	c.total.Store(int64(total))
}

// sweep drops expired requests, once a sweepInterval. The mutex must be held.
func (c *copies) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	for _, table := range c.byNode {
		for fingerprint, known := range table {
			if !now.Before(known.expires) {
				delete(table, fingerprint)
			}
		}
	}
	c.updateTotal()
}
