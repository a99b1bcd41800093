package quarantine

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/register"
)

const (
	// reportTimeout bounds a report to one storage node, which waits for FollowerGrace at
	// most, findTimeout a question.
	reportTimeout = 500 * time.Millisecond
	findTimeout   = 100 * time.Millisecond
	// location names the replica set whose members keep the tables.
	location = "quarantine"
	// localNode is the name of the gateway's own table among the copies.
	localNode = "this gateway"
)

// Nodes sends requests to storage nodes. peer.Client implements it.
type Nodes interface {
	ReportCrash(ctx context.Context, address string, crash Crash) (Record, error)
	ClearCrashes(ctx context.Context, address string, fingerprint Fingerprint) error
	FindCrashes(ctx context.Context, address string, fingerprint Fingerprint) (Record, error)
	WatchCrashes(ctx context.Context, address string, follower FollowerID, from Cursor, wait time.Duration) (Changes, error)
}

// Views provides the replica sets of shards. directory.Lookup implements it.
type Views interface {
	View(shard uint32) (register.View, bool)
	Locate(program string) uint32
}

// Client reports crashes under requests and finds those of other gateways. It is safe for
// concurrent use.
type Client struct {
	id     FollowerID
	nodes  Nodes
	views  Views
	logger *zap.Logger
	// own counts the crashes that this gateway has seen. Those that too few storage nodes
	// have counted are in the copy of localNode.
	own    *Table
	copies *copies
	// running are the calls to storage nodes, also those that nobody waits for.
	running sync.WaitGroup
}

// NewClient returns a client with an id that no other has. The follower from Follower must run for it to know of the
// crashes at other gateways.
func NewClient(id FollowerID, nodes Nodes, views Views, now func() time.Time, logger *zap.Logger) *Client {
	return &Client{
		id: id, nodes: nodes, views: views, logger: logger, copies: newCopies(now),
		own: NewTable(0, now, func(Fingerprint, []string) {}),
	}
}

// MayKnow reports whether any crash is known, under whatever request. Otherwise no
// fingerprint needs to be made.
func (c *Client) MayKnow() bool { return !c.copies.isEmpty() }

// Crashes returns how many instances have crashed under the request. It asks storage nodes
// only if some are known to have.
func (c *Client) Crashes(ctx context.Context, fingerprint Fingerprint) int {
	if c.copies.crashes(fingerprint) == 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	asked := c.askMembers(func(address string) (Record, error) { return c.nodes.FindCrashes(ctx, address, fingerprint) })
	most, answered := c.copies.crashesAt(localNode, fingerprint), 0
	for range asked.members {
		answer := <-asked.answers
		if answer.err != nil {
			continue
		}
		answered++
		most = max(most, answer.record.Crashes)
		if IsQuarantined(most) {
			break
		}
	}
	if answered < asked.quorum || asked.quorum == 0 {
		// Those that don't answer may know more: what they have said last counts.
		return max(most, c.copies.crashes(fingerprint))
	}
	return most
}

// Report reports a crash and returns how many instances have crashed under the request. It
// returns once a majority of the nodes has counted the crash and told their followers, so
// that these know of it before the client can try again, or once too few can be reached.
func (c *Client) Report(ctx context.Context, crash Crash) int {
	own := c.own.Report(crash)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	asked := c.askMembers(func(address string) (Record, error) { return c.nodes.ReportCrash(ctx, address, crash) })
	most, counted, received := 0, 0, 0
	var lastErr error
	for range asked.members {
		answer := <-asked.answers
		received++
		if answer.err != nil {
			lastErr = answer.err
			continue
		}
		c.copies.apply(answer.address, Changes{Records: []Record{answer.record}})
		most = max(most, answer.record.Crashes)
		if counted++; counted == asked.quorum {
			break
		}
	}
	asked.cancelAfter(received, cancel)
	if counted < asked.quorum || asked.quorum == 0 {
		most = max(most, own.Crashes)
		c.copies.apply(localNode, Changes{Records: []Record{own}})
		c.logger.Info("crash not confirmed by storage nodes", zap.Stringer("fingerprint", crash.Fingerprint),
			zap.String("instance", crash.Instance), zap.Int("confirmed", counted), zap.Int("needed", asked.quorum), zap.Error(lastErr))
	}
	return most
}

// Completed forgets the crashes under a request, if there are any, since a try of it was
// completed. It doesn't wait for the storage nodes.
func (c *Client) Completed(ctx context.Context, fingerprint Fingerprint) {
	if c.copies.crashes(fingerprint) == 0 {
		return
	}
	c.own.Clear(fingerprint)
	c.copies.apply(localNode, Changes{Records: []Record{{Fingerprint: fingerprint}}})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	asked := c.askMembers(func(address string) (Record, error) {
		return Record{}, c.nodes.ClearCrashes(ctx, address, fingerprint)
	})
	asked.cancelAfter(0, cancel)
}

// asked is a question to the members of the replica set.
type asked struct {
	members, quorum int
	answers         chan answer
}

// answer is the answer of one member, or the error instead of it.
type answer struct {
	address string
	record  Record
	err     error
}

// askMembers asks all members at the same time. There are none until the replica sets are
// known.
func (c *Client) askMembers(ask func(address string) (Record, error)) asked {
	view, known := c.views.View(c.views.Locate(location))
	if !known {
		return asked{}
	}
	a := asked{members: len(view.Members), quorum: view.Quorum(), answers: make(chan answer, len(view.Members))}
	for _, member := range view.Members {
		c.running.Go(func() {
			record, err := ask(member.Address)
			a.answers <- answer{member.Address, record, err}
		})
	}
	return a
}

// cancelAfter calls cancel once the answers beyond those received have come, so that the
// members that are late are told as well.
func (a asked) cancelAfter(received int, cancel context.CancelFunc) {
	if received == a.members {
		cancel()
		return
	}
	go func() {
		defer cancel()
		for range a.members - received {
			<-a.answers
		}
	}()
}
