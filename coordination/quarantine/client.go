package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// reportTimeout bounds a report to one storage node, which waits for FollowerGrace at
	// most.
	reportTimeout = 500 * time.Millisecond
	// findTimeout bounds the wait for a majority that says how many instances have crashed
	// under a request. Beyond it the copies decide.
	findTimeout = 500 * time.Millisecond
	// findGrace is how long the other members are waited for once a majority has answered.
	findGrace = 100 * time.Millisecond
	// findPause is the pause before the members are asked again.
	findPause = 20 * time.Millisecond
	// location names the replica set whose members keep the tables.
	location = "quarantine"
	// learningTime is how long after its start, and after it first knows the replica sets, a
	// gateway asks for each request, unless it has the tables of a majority before.
	learningTime = 3 * time.Second
	// stallTime is how long the follower of a process that runs never pauses, and
	// catchUpTime how long after a longer pause, as of a frozen machine, each request is
	// asked for: the copies may be out of date.
	stallTime   = 3 * memberInterval
	catchUpTime = 100 * time.Millisecond
	// localNode is the name of the gateway's own table among the copies.
	localNode = "this gateway"
)

// Nodes sends requests to storage nodes. peer.Client implements it.
type Nodes interface {
	ReportCrash(ctx context.Context, address string, crash Crash) (Record, error)
	NoteSend(ctx context.Context, address string, send Send) (before, after Record, err error)
	DropSend(ctx context.Context, address string, fingerprint Fingerprint, id SendID) error
	ClearCrashes(ctx context.Context, address string, fingerprint Fingerprint) error
	FindCrashes(ctx context.Context, address string, fingerprint Fingerprint) (Record, error)
	WatchCrashes(ctx context.Context, address string, follower FollowerID, from Cursor, wait time.Duration) (Changes, error)
}

// Views provides the replica sets of shards. directory.Lookup implements it.
type Views interface {
	View(shard uint32) (register.View, bool)
	Locate(program string) uint32
	// IsListed reports whether the replica sets were listed. There may be none.
	IsListed() bool
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
	now    func() time.Time
	// findTimeout is the constant, or less in tests.
	findTimeout time.Duration
	// learnsUntil is the end of learningTime after the start.
	learnsUntil time.Time
	// setsKnownAt is when the replica sets were first seen to be known, as Unix nanoseconds;
	// zero before.
	setsKnownAt atomic.Int64
	// lastTick is when the follower last ran, and catchesUpUntil the end of catchUpTime, as
	// Unix nanoseconds; zero for never.
	lastTick, catchesUpUntil atomic.Int64
	// reported are the crashes that this gateway has seen lately.
	reported reports
	// running are the calls to storage nodes, also those that nobody waits for.
	running sync.WaitGroup
}

// NewClient returns a client with an id that no other has. Its Follower must run, so that it
// knows of the crashes at other gateways.
func NewClient(id FollowerID, nodes Nodes, views Views, now func() time.Time, logger *zap.Logger) *Client {
	return &Client{
		id: id, nodes: nodes, views: views, logger: logger, copies: newCopies(now),
		own: NewTable(0, now, func(Fingerprint, []string) {}), now: now, findTimeout: findTimeout, learnsUntil: now().Add(learningTime),
	}
}

// NeedsCheck reports whether requests have to be checked: a crash under some request is known,
// or this gateway may lack what others know. Otherwise no fingerprint needs to be made.
func (c *Client) NeedsCheck() bool { return !c.copies.isEmpty() || c.isLearning() }

// isLearning reports whether the copies lack what the gateway should know: it has just
// started and lacks the replica sets or the tables of a majority, or it stood still.
func (c *Client) isLearning() bool {
	if c.hasStoodStill() {
		return true
	}
	now := c.now()
	if knownAt := c.setsKnownAt.Load(); knownAt != 0 && !now.Before(time.Unix(0, knownAt).Add(learningTime)) {
		return false
	}
	view, known := c.views.View(c.views.Locate(location))
	if !known {
		return now.Before(c.learnsUntil) && !c.views.IsListed()
	}
	c.setsKnownAt.CompareAndSwap(0, now.UnixNano())
	return c.copies.count() < view.Quorum()
}

// hasStoodStill reports whether the process stood still a moment ago.
func (c *Client) hasStoodStill() bool {
	now := c.now()
	return now.UnixNano() < c.catchesUpUntil.Load() || c.hasStalled(now)
}

// hasStalled reports whether the follower hasn't run for stallTime.
func (c *Client) hasStalled(now time.Time) bool {
	last := c.lastTick.Load()
	return last != 0 && now.UnixNano()-last >= int64(stallTime)
}

// tick notes that the follower runs.
func (c *Client) tick() {
	now := c.now()
	if c.hasStalled(now) {
		c.catchesUpUntil.Store(now.Add(catchUpTime).UnixNano())
	}
	c.lastTick.Store(now.UnixNano())
}

// Suspicion returns what is known of the earlier sends of the request. It asks storage nodes
// only if there may have been some without an outcome, just after the start and after a pause
// of the process. Then it waits for a majority for findTimeout at most.
func (c *Client) Suspicion(ctx context.Context, fingerprint Fingerprint) Suspicion {
	if c.copies.suspicion(fingerprint).Suspected == 0 && !c.isLearning() {
		return Suspicion{}
	}
	ctx, cancel := context.WithTimeout(ctx, c.findTimeout)
	defer cancel()
	return c.untilConfirmed(ctx, fingerprint, c.find)
}

// IsSuspected reports whether the copies know of crashes or sends without an outcome of the
// request. It asks nobody.
func (c *Client) IsSuspected(fingerprint Fingerprint) bool {
	return c.copies.suspicion(fingerprint).Suspected > 0
}

// Announce notes that a request is sent to an instance if earlier sends of it are suspected,
// by what is known already or by the copies. It returns what is known of those. The send
// counts until Drop, Unresolve, Report or Completed, or for its lifetime if this gateway ends.
func (c *Client) Announce(ctx context.Context, send Send, known Suspicion) (before Suspicion, isAnnounced bool) {
	if known.Suspected == 0 && !c.IsSuspected(send.Fingerprint) {
		return Suspicion{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, c.findTimeout)
	defer cancel()
	local, _ := c.own.NoteSend(send)
	note := func(ctx context.Context, _ Fingerprint) (Suspicion, bool) {
		before, _, isConfirmed := c.note(ctx, send)
		return before, isConfirmed
	}
	return c.untilConfirmed(ctx, send.Fingerprint, note).Most(local.Suspicion), true
}

// untilConfirmed asks until a majority has answered, what is known is enough to refuse the
// request, or the context ends. Then the copies count as well.
func (c *Client) untilConfirmed(ctx context.Context, fingerprint Fingerprint, ask func(context.Context, Fingerprint) (Suspicion, bool)) Suspicion {
	for {
		known, isConfirmed := ask(ctx, fingerprint)
		if isConfirmed {
			return known
		}
		// Those that don't answer may know more: what they have said last counts.
		known = known.Most(c.copies.suspicion(fingerprint))
		if IsQuarantined(known.Crashes) {
			return known
		}
		if sleep.For(ctx, findPause) != nil {
			c.logger.Info("crashes under request not confirmed by storage nodes", zap.Stringer("fingerprint", fingerprint),
				zap.Int("crashes", known.Crashes), zap.Int("suspected", known.Suspected), zap.Bool("replica_sets_listed", c.views.IsListed()))
			return known
		}
	}
}

// find asks all members what they know of the request. The result is confirmed if a majority
// has answered, or if it is enough to refuse the request.
func (c *Client) find(ctx context.Context, fingerprint Fingerprint) (known Suspicion, isConfirmed bool) {
	together := merged{now: c.now()}
	asked := c.askMembers(func(address string) (reply, error) {
		record, err := c.nodes.FindCrashes(ctx, address, fingerprint)
		return reply{after: record}, err
	})
	local := c.copies.suspicionAt(localNode, fingerprint)
	_, answered, _ := asked.collect(findGrace, func(got answer) bool {
		together.add(got.after)
		return !IsQuarantined(together.suspicion().Crashes)
	})
	known = local.Most(together.suspicion())
	return known, IsQuarantined(known.Crashes) || isMajority(answered, asked.quorum)
}

// note notes a send at all members. It returns what they know without it and with it.
func (c *Client) note(ctx context.Context, send Send) (before, after Suspicion, isConfirmed bool) {
	began := c.now()
	send.Gateway = c.id
	c.reported.addSend(send, began)
	noting, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	asked := c.askMembers(func(address string) (reply, error) {
		before, after, err := c.nodes.NoteSend(noting, address, send)
		return reply{before, after}, err
	})
	grace := findGrace
	if !send.IsOpen {
		grace = FollowerGrace
	}
	earlier, with := merged{now: began}, merged{now: began}
	received, answered, err := asked.collect(grace, func(got answer) bool {
		c.copies.apply(got.address, Changes{Records: []Record{got.after}})
		earlier.add(got.before)
		with.add(got.after)
		return true
	})
	before, after = earlier.suspicion(), with.suspicion()
	asked.cancelAfter(received, cancel)
	isConfirmed = isMajority(answered, asked.quorum)
	if !isConfirmed {
		c.logger.Info("send not confirmed by storage nodes", zap.Stringer("fingerprint", send.Fingerprint), zap.String("instance", send.Instance),
			zap.Bool("open", send.IsOpen), zap.Int("confirmed", answered), zap.Int("needed", asked.quorum),
			zap.Duration("took", c.now().Sub(began)), zap.Error(err))
	}
	return before, after, isConfirmed
}

// Unresolve notes that the exchange of a send has ended without an outcome and returns what is
// known with it, once other gateways know of it. Without a majority, the send adds to what this
// gateway knows.
func (c *Client) Unresolve(ctx context.Context, send Send) Suspicion {
	_, local := c.own.NoteSend(send)
	_, known, isConfirmed := c.note(ctx, send)
	if !isConfirmed {
		c.copies.apply(localNode, Changes{Records: []Record{local}})
		known = known.Most(local.Suspicion)
	}
	return known
}

// Drop forgets a send that was announced or unresolved, since its instance still runs. It
// doesn't wait for the storage nodes.
func (c *Client) Drop(ctx context.Context, fingerprint Fingerprint, id SendID) {
	c.own.DropSend(fingerprint, id)
	c.reported.removeSend(id)
	c.copies.apply(localNode, Changes{Records: []Record{c.own.Find(fingerprint)}})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	asked := c.askMembers(func(address string) (reply, error) {
		return reply{}, c.nodes.DropSend(ctx, address, fingerprint, id)
	})
	asked.cancelAfter(0, cancel)
}

// Report reports a crash and returns what is known of the request then. It returns once all
// nodes have counted the crash and told their followers, so that these know of it before the
// client can try again. Once a majority has, it waits for FollowerGrace at
// most. Without a majority, the crash adds to those that were known when the request was sent.
func (c *Client) Report(ctx context.Context, crash Crash) Suspicion {
	began := c.now()
	local := crash
	local.Row = crash.Known + 1
	own := c.own.Report(local)
	most, counted, needed, err := c.reportOnce(ctx, crash)
	if !isMajority(counted, needed) && c.hasStoodStill() {
		// The answers came too late, or the report was never sent.
		passed := c.now().Sub(began)
		crash.SentAgo += passed
		crash.EndedAgo += passed
		most, counted, needed, err = c.reportOnce(ctx, crash)
	}
	if !isMajority(counted, needed) {
		most = most.Most(own.Suspicion)
		c.copies.apply(localNode, Changes{Records: []Record{own}})
		c.logger.Info("crash not confirmed by storage nodes", zap.Stringer("fingerprint", crash.Fingerprint),
			zap.String("instance", crash.Instance), zap.Int("confirmed", counted), zap.Int("needed", needed), zap.Error(err))
	}
	crash.Row = most.Crashes
	c.reported.add(crash, c.now())
	c.reported.removeSend(crash.Send)
	return most
}

// isMajority reports whether enough members have answered. Before the replica sets are known,
// no number is enough.
func isMajority(answered, quorum int) bool { return quorum > 0 && answered >= quorum }

// reportOnce reports a crash to all members and returns how many of them have counted it, and
// what they know of the request.
func (c *Client) reportOnce(ctx context.Context, crash Crash) (most Suspicion, counted, needed int, lastErr error) {
	together := merged{now: c.now()}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	asked := c.askMembers(func(address string) (reply, error) {
		record, err := c.nodes.ReportCrash(ctx, address, crash)
		return reply{after: record}, err
	})
	received, counted, lastErr := asked.collect(FollowerGrace, func(got answer) bool {
		c.copies.apply(got.address, Changes{Records: []Record{got.after}})
		together.add(got.after)
		return true
	})
	asked.cancelAfter(received, cancel)
	return together.suspicion(), counted, asked.quorum, lastErr
}

// Completed forgets the crashes under a request, if there are any, since a try of it was
// completed. It doesn't wait for the storage nodes.
func (c *Client) Completed(ctx context.Context, fingerprint Fingerprint) {
	if c.copies.suspicion(fingerprint).Suspected == 0 {
		return
	}
	c.forget(fingerprint)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	asked := c.askMembers(func(address string) (reply, error) {
		return reply{}, c.nodes.ClearCrashes(ctx, address, fingerprint)
	})
	asked.cancelAfter(0, cancel)
}

// forget drops what this gateway has seen of a request.
func (c *Client) forget(fingerprint Fingerprint) {
	c.own.Clear(fingerprint)
	c.reported.remove(fingerprint)
	c.copies.apply(localNode, Changes{Records: []Record{{Fingerprint: fingerprint}}})
}

// learn takes in the changes of a node's table, and tells a new table what it may have lost.
func (c *Client) learn(ctx context.Context, address string, changes Changes) {
	c.copies.apply(address, changes)
	for _, record := range changes.Records {
		if record.Suspected == 0 && !record.IsResolved {
			c.forget(record.Fingerprint)
		}
	}
	if changes.IsFull {
		c.reportAgain(ctx, address)
	}
}

// reportAgain reports the crashes that this gateway has seen, and its sends without an outcome,
// to a node that has a new table, since it was restarted and may have lost them.
func (c *Client) reportAgain(ctx context.Context, address string) {
	for _, crash := range c.reported.all(c.now()) {
		report := func(ctx context.Context) (Record, error) { return c.nodes.ReportCrash(ctx, address, crash) }
		if c.tellAgain(ctx, address, report) != nil {
			return
		}
	}
	for _, send := range c.reported.sends(c.now()) {
		note := func(ctx context.Context) (Record, error) {
			_, after, err := c.nodes.NoteSend(ctx, address, send)
			return after, err
		}
		if c.tellAgain(ctx, address, note) != nil {
			return
		}
	}
}

// tellAgain tells a node something and takes its answer into the copy of its table.
func (c *Client) tellAgain(ctx context.Context, address string, tell func(context.Context) (Record, error)) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	known, err := tell(ctx)
	if err != nil {
		return err
	}
	c.copies.apply(address, Changes{Records: []Record{known}})
	return nil
}

// asked is a question to the members of the replica set.
type asked struct {
	members, quorum int
	answers         chan answer
}

// reply is what a member knows of a request; before is set for a noted send alone.
type reply struct{ before, after Record }

// answer is the reply of one member, or the error instead of it.
type answer struct {
	address string
	reply
	err error
}

// askMembers asks all members at the same time. There are none until the replica sets are
// known.
func (c *Client) askMembers(ask func(address string) (reply, error)) asked {
	view, known := c.views.View(c.views.Locate(location))
	if !known {
		return asked{}
	}
	a := asked{members: len(view.Members), quorum: view.Quorum(), answers: make(chan answer, len(view.Members))}
	for _, member := range view.Members {
		c.running.Go(func() {
			got, err := ask(member.Address)
			a.answers <- answer{member.Address, got, err}
		})
	}
	return a
}

// collect calls take with the answers until it returns false. Once a majority has answered, it
// waits for the others for grace at most.
func (a asked) collect(grace time.Duration, take func(answer) (goOn bool)) (received, answered int, lastErr error) {
	var late <-chan time.Time
	for received < a.members {
		select {
		case got := <-a.answers:
			received++
			if got.err != nil {
				lastErr = got.err
				continue
			}
			if answered++; answered == a.quorum {
				late = time.After(grace)
			}
			if !take(got) {
				return received, answered, lastErr
			}
		case <-late:
			return received, answered, lastErr
		}
	}
	return received, answered, lastErr
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
