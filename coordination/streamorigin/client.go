package streamorigin

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/register"
)

// nodeTimeout bounds one request to one storage node.
const nodeTimeout = 250 * time.Millisecond

var (
	// ErrNoNodes means that the storage nodes that keep the record aren't known, so that
	// none was asked.
	ErrNoNodes = errors.New("no replica set is known for the stream's record")
	// ErrNotRecorded means that fewer than a majority of the nodes have confirmed the
	// record. Some may have it.
	ErrNotRecorded = errors.New("too few storage nodes have confirmed the stream's record")
)

// Nodes sends requests to storage nodes. peer.Client implements it.
type Nodes interface {
	RecordStream(ctx context.Context, address string, record Record) error
	FindStream(ctx context.Context, address string, key Key) (Answer, error)
}

// Views provides the replica sets of shards and the shard of each program.
type Views interface {
	View(shard uint32) (register.View, bool)
	Locate(program string) uint32
}

// Client records and finds the origins of streams for a gateway. It is safe for concurrent
// use.
type Client struct {
	nodes Nodes
	views Views
}

// NewClient returns a client.
func NewClient(nodes Nodes, views Views) *Client { return &Client{nodes: nodes, views: views} }

func (c *Client) view(key Key) (register.View, bool) {
	return c.views.View(c.views.Locate(key.location()))
}

// Record records the stream at all members of its replica set. It returns nil once a
// majority has confirmed the record, else ErrNoNodes or ErrNotRecorded. Find then returns
// this record or one with a later change.
func (c *Client) Record(ctx context.Context, record Record) error {
	view, known := c.view(record.Key)
	if !known {
		return ErrNoNodes
	}
	ctx = context.WithoutCancel(ctx) // the other members get the record as well
	results := make(chan error, len(view.Members))
	for _, member := range view.Members {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
			defer cancel()
			results <- c.nodes.RecordStream(ctx, member.Address, record)
		}()
	}
	confirmed := 0
	var lastErr error
	for range view.Members {
		if err := <-results; err != nil {
			lastErr = err
			continue
		}
		if confirmed++; confirmed == view.Quorum() {
			return nil
		}
	}
	return merry.Prependf(ErrNotRecorded, "%v", lastErr)
}

// Find asks all members of the replica set for the stream, which may be as old as lifetime.
// It returns a record once a majority has answered, since a record whose origin was changed
// is at a majority. Members that don't answer delay it by nodeTimeout at most.
func (c *Client) Find(ctx context.Context, key Key, lifetime time.Duration) Finding {
	view, known := c.view(key)
	if !known {
		return Finding{}
	}
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	replies := make(chan reply, len(view.Members))
	for _, member := range view.Members {
		go func() {
			answer, err := c.nodes.FindStream(ctx, member.Address, key)
			replies <- reply{answer, err}
		}()
	}
	counted := tally{members: len(view.Members), quorum: view.Quorum(), lifetime: lifetime}
	for range view.Members {
		counted.add(<-replies)
		if counted.isDecided() {
			break
		}
	}
	return counted.finding()
}

// reply is the answer of one member, or the error instead of it.
type reply struct {
	answer Answer
	err    error
}

// tally counts the replies of the members of a replica set.
type tally struct {
	members, quorum int
	lifetime        time.Duration

	answered int
	// excluding counts the members that would have a record, had there been one.
	excluding int
	newest    Answer
}

func (t *tally) add(r reply) {
	if r.err != nil {
		return
	}
	t.answered++
	switch {
	case r.answer.Known && (!t.newest.Known || r.answer.Change > t.newest.Change):
		t.newest = r.answer
	case !r.answer.Known && r.answer.RecordingFor >= t.lifetime:
		t.excluding++
	}
}

// isDecided reports whether further replies can't change the finding.
func (t *tally) isDecided() bool { return t.newest.Known && t.answered >= t.quorum }

func (t *tally) finding() Finding {
	if t.isDecided() {
		return Finding{Known: true, Origin: t.newest.Origin}
	}
	return Finding{Complete: t.excluding == t.members}
}
