package streamorigin

import (
	"context"
	"errors"
	"slices"
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
	FindStream(ctx context.Context, address string, fence register.Fence, key Key) (Answer, error)
}

// Views provides the replica sets of shards and the shard of each program.
type Views interface {
	View(shard uint32) (register.View, bool)
	Locate(program string) uint32
}

// Client records and finds the origins of streams for a gateway. It is safe for concurrent
// use.
type Client struct {
	nodes  Nodes
	views  Views
	copies chan Record
}

// NewClient returns a client. It copies records while its Serve runs.
func NewClient(nodes Nodes, views Views) *Client {
	return &Client{nodes: nodes, views: views, copies: make(chan Record, maxCopies)}
}

func (c *Client) view(key Key) (register.View, bool) {
	return c.views.View(c.views.Locate(key.location()))
}

// Stamp returns the record with the epoch of its replica set, for one that is sent by other means
// than Record.
func (c *Client) Stamp(record Record) Record {
	view, _ := c.view(record.Key)
	return stamped(record, view)
}

func stamped(record Record, view register.View) Record {
	record.Epoch, record.Members = view.Epoch, uint32(len(view.Members))
	return record
}

// Record records the stream at all members of its replica set. It returns nil once a
// majority has confirmed the record, else ErrNoNodes or ErrNotRecorded. Find then returns
// this record, one with a later change, or none.
func (c *Client) Record(ctx context.Context, record Record) error {
	view, known := c.view(record.Key)
	if !known {
		return ErrNoNodes
	}
	record = stamped(record, view)
	ctx = context.WithoutCancel(ctx) // the other members get the record as well
	results := make(chan error, len(view.Members))
	for _, member := range view.Members {
		go func() { results <- c.recordAt(ctx, member.Address, record) }()
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

func (c *Client) recordAt(ctx context.Context, address string, record Record) error {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	return c.nodes.RecordStream(ctx, address, record)
}

// Find asks all members of the replica set for the stream. It returns a final record at once,
// and another one if isNewest. Members that don't answer delay it by nodeTimeout at most.
func (c *Client) Find(ctx context.Context, key Key) Finding {
	view, known := c.view(key)
	if !known {
		return Finding{}
	}
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	replies := make(chan reply, len(view.Members))
	for _, member := range view.Members {
		go func() {
			fence := register.Fence{Shard: view.Shard, Epoch: view.Epoch, Replica: member.Incarnation}
			answer, err := c.nodes.FindStream(ctx, member.Address, fence, key)
			replies <- reply{answer, err}
		}()
	}
	var answers []Answer
	for range view.Members {
		r := <-replies
		if r.err == nil {
			answers = append(answers, r.answer)
		}
		if r.answer.IsFinal {
			break
		}
	}
	newest := newestOf(answers)
	if newest.IsFinal || isNewest(newest, answers, view) {
		return Finding{Known: true, Origin: newest.Origin, Change: newest.Change, Age: newest.Age}
	}
	isOutdated := slices.ContainsFunc(answers, func(answer Answer) bool { return answer.IsOutdated })
	return Finding{Answered: len(answers) == len(view.Members) && !isOutdated}
}

// reply is the answer of one member, or the error instead of it.
type reply struct {
	answer Answer
	err    error
}

// newestOf returns the record with the latest change, or an uncertain one if two differ in the
// origin alone.
func newestOf(answers []Answer) (newest Answer) {
	for _, answer := range answers {
		switch {
		case !answer.Known:
		case !newest.Known || answer.Change > newest.Change:
			newest = answer
		case answer.Change == newest.Change:
			newest.IsFinal = newest.IsFinal || answer.IsFinal
			newest.Age = max(newest.Age, answer.Age)
			if answer.Epoch > newest.Epoch {
				newest.Epoch, newest.Members = answer.Epoch, answer.Members
			}
			if answer.Origin != newest.Origin {
				newest.Origin = Origin{}
			}
		}
	}
	return newest
}

// isNewest reports whether no later change can be on record than the one found. A later one was
// confirmed by a majority of the set of the record's epoch or of a later epoch. So a majority has to
// know of none in the record's epoch and in the one that is asked; sets between them aren't known. Sets
// differ in size, as members that don't answer lose their place.
func isNewest(found Answer, answers []Answer, view register.View) bool {
	if !found.Known || found.Epoch == 0 || found.Members == 0 || found.Epoch > view.Epoch || found.Epoch+1 < view.Epoch {
		return false
	}
	then, now := 0, 0
	for _, answer := range answers {
		// The nodes measure these durations up to nodeTimeout apart. A member that lost its records
		// later may have had a later change.
		isComplete := answer.Known || answer.RecordingFor >= found.Age+nodeTimeout
		confirmsNow := answer.IsCurrent && isComplete
		if confirmsNow {
			now++
		}
		if answer.Known && answer.Epoch == found.Epoch || confirmsNow && view.Epoch == found.Epoch {
			then++
		}
	}
	return then >= int(found.Members)/2+1 && now >= view.Quorum()
}
