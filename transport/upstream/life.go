package upstream

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// EndSkew is how far apart the connections of a process break that ends.
	EndSkew = 50 * time.Millisecond
	// BreakSettle is how long the other connections of a process that broke an exchange have to stay
	// open to show that it runs on: it may close them some time before it ends.
	BreakSettle = 250 * time.Millisecond
	// acceptTime is how long a process takes at most to accept a connection.
	acceptTime = 50 * time.Millisecond
	// minIdleClose is the shortest time after which a process closes a connection because it
	// is idle.
	minIdleClose = time.Second
	// lifeRetention is how long a process without connections is remembered.
	lifeRetention = time.Minute
)

// Life is what a check has shown of the process that a request was sent to.
type Life int

const (
	// LifeUnclear: its address takes connections, but nothing shows that these lead to the
	// same process.
	LifeUnclear Life = iota
	// LifeContinues: it has kept a connection, or has sent something since.
	LifeContinues
	// LifeEnded: its address refuses connections, or all of its connections have broken.
	LifeEnded
	// LifeSilent: connections to it hang.
	LifeSilent
	// LifeUndecided: it has kept a connection, but less than BreakSettle after it broke the
	// exchange, so that this one may be about to break as well.
	LifeUndecided
)

// String returns the name of the result for log lines.
func (l Life) String() string {
	return [...]string{LifeUnclear: "unclear", LifeContinues: "continues", LifeEnded: "ended", LifeSilent: "silent", LifeUndecided: "undecided"}[l]
}

// life is what the client has seen of one process. It is safe for concurrent use.
type life struct {
	// lastReceived is when the process last sent something, in nanoseconds since the Unix
	// epoch.
	lastReceived atomic.Int64
	// lastCheck is what the last question for the process's instance has shown; nil before.
	lastCheck atomic.Pointer[processCheck]

	mutex sync.Mutex
	open  map[*connection]struct{}
	// probed is what the last probe has found, at probedAt.
	probed   Life
	probedAt time.Time
	// refusedAt is when a probe was last refused; zero if none was.
	refusedAt time.Time
	// breaks are the last connections that the process broke, the newest first.
	breaks [4]connectionBreak
}

// connectionBreak is the end that a process has made of a connection.
type connectionBreak struct {
	opened, at time.Time
	// isIdle is set if no exchange used the connection. A lost response breaks no such one.
	isIdle bool
}

// lives are the processes that the client has connected to. They are safe for concurrent use.
type lives struct {
	mutex sync.Mutex
	known map[endpoint]*life
}

func newLives() *lives { return &lives{known: make(map[endpoint]*life)} }

func (l *lives) of(to endpoint) *life {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.known[to]
	if known == nil {
		known = &life{open: make(map[*connection]struct{})}
		l.known[to] = known
	}
	return known
}

// sweep forgets processes that had no connection for lifeRetention.
func (l *lives) sweep(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for to, known := range l.known {
		if known.isIdle(now) {
			delete(l.known, to)
		}
	}
}

func (l *life) isIdle(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.open) == 0 && now.Sub(time.Unix(0, l.lastReceived.Load())) >= lifeRetention
}

func (l *life) add(opened *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[opened] = struct{}{}
}

func (l *life) remove(closed *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, closed)
}

// probedWithin returns what a probe has found that is no older than age.
func (l *life) probedWithin(age time.Duration, now time.Time) (found Life, isKnown bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.probed, age > 0 && !l.probedAt.IsZero() && now.Sub(l.probedAt) < age
}

func (l *life) noteProbed(found Life, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.probed, l.probedAt = found, now
	if found == LifeEnded {
		l.refusedAt = now
	}
}

// wasRefused reports whether a probe has been refused since then.
func (l *life) wasRefused(since time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.refusedAt.After(since)
}

// noteBroken notes that the process has broken the connection. Later reads fail as well.
func (c *connection) noteBroken(now time.Time) {
	if !c.closedAt.CompareAndSwap(0, now.UnixNano()) {
		return
	}
	l := c.life
	l.mutex.Lock()
	defer l.mutex.Unlock()
	copy(l.breaks[1:], l.breaks[:])
	l.breaks[0] = c.breakAt(now)
}

func (c *connection) breakAt(at time.Time) connectionBreak {
	return connectionBreak{opened: c.opened, at: at, isIdle: !c.inUse.Load()}
}

func (l *life) hasReceivedSince(then time.Time) bool { return l.lastReceived.Load() >= then.UnixNano() }

// hasOpen reports whether the process has an open connection.
func (l *life) hasOpen() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for candidate := range l.open {
		if candidate.isOpen() {
			return true
		}
	}
	return false
}

// acceptedAt returns by when the process has accepted the connection. The system opens
// connections for it, and one that it hasn't accepted may outlive it.
func (c *connection) acceptedAt() time.Time {
	latest := c.opened.Add(acceptTime)
	if first := c.firstReceived.Load(); first != 0 && first < latest.UnixNano() {
		return time.Unix(0, first)
	}
	return latest
}

// keptOrBroke returns how many connections are still open that were opened before the request was
// sent, and for one with a spare connection accepted before its exchange ended, and which ones the
// process has broken since then.
// Those that it has closed right after they were opened, or because they were idle, don't count.
func (l *life) keptOrBroke(request *Request, ended, now time.Time) (kept int, broke []connectionBreak) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for candidate := range l.open {
		if candidate.isOpen() {
			if !candidate.opened.After(request.SentAt) && (!request.KeepsSpare || !candidate.acceptedAt().After(ended)) {
				kept++
			}
			continue
		}
		if at := candidate.noteClosed(now); at.Sub(candidate.lastUse()) < minIdleClose && !l.hasNoted(candidate, at) {
			broke = append(broke, candidate.breakAt(at))
		}
	}
	for _, one := range l.breaks {
		if one.at.After(ended.Add(-EndSkew)) && one.at.Sub(one.opened) > maxEndProbes*endGrace {
			broke = append(broke, one)
		}
	}
	return kept, broke
}

// hasNoted reports whether the end of the connection is among the breaks. The mutex must be held.
func (l *life) hasNoted(broken *connection, at time.Time) bool {
	return slices.ContainsFunc(l.breaks[:], func(one connectionBreak) bool {
		return one.opened.Equal(broken.opened) && one.at.Equal(at)
	})
}

// brokeTogether reports whether two connections broke at the same time, one of them idle, as
// they do at the end of a process.
func brokeTogether(broke []connectionBreak) bool {
	for index, one := range broke {
		for _, other := range broke[index+1:] {
			if (one.isIdle || other.isIdle) && one.at.Sub(other.at).Abs() <= EndSkew {
				return true
			}
		}
	}
	return false
}

// noteClosed returns when the connection was first seen to be closed by the peer.
func (c *connection) noteClosed(now time.Time) time.Time {
	c.closedAt.CompareAndSwap(0, now.UnixNano())
	return time.Unix(0, c.closedAt.Load())
}

// lastUse returns when an exchange last ended on the connection, or when it was opened.
func (c *connection) lastUse() time.Time { return time.Unix(0, c.lastUsed.Load()) }

// isOpen reports whether the peer hasn't closed the connection, or what it sent before isn't read.
// An exchange may use it: a read, even one that only peeks, would take a reset from the exchange,
// which would then read the end of a whole answer.
func (c *connection) isOpen() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var peeked [1]byte
	err = raw.Control(func(descriptor uintptr) {
		info, failure := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case failure != nil:
		case info.State == unix.BPF_TCP_ESTABLISHED:
			open = true
		case info.State == unix.BPF_TCP_CLOSE_WAIT:
			count, _, failure := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			open = failure == nil && count > 0
		}
	})
	return err == nil && open
}

// Look tells how the exchange of a request ended, and how to look for its process.
type Look struct {
	// EndedAt is when the exchange ended, IsBroken that the process broke it.
	EndedAt  time.Time
	IsBroken bool
	// HeardSince is the time since which a byte from the process shows that it runs; zero if
	// none does.
	HeardSince time.Time
	// MaxAge is how old the result of an earlier connection may be that is taken for that of
	// another one.
	MaxAge time.Duration
	// IsPassive spares another connection to the process while there is an open one and none
	// has broken.
	IsPassive bool
}

// Check checks whether the process that a request was sent to still runs. It connects to its
// address, and looks at the other connections that the process had when it got the request:
// later ones may lead to another process.
func (c *Client) Check(ctx context.Context, request *Request, look Look) Life {
	to := endpointOf(request)
	known := c.lives.of(to)
	_, broke := known.keptOrBroke(request, look.EndedAt, c.now())
	isHeard := !look.HeardSince.IsZero() && known.hasReceivedSince(look.HeardSince)
	if !look.IsBroken && len(broke) == 0 && (look.IsPassive || isHeard) && known.hasOpen() {
		return LifeContinues
	}
	if found := c.probeEnd(ctx, to, look.MaxAge); found != LifeUnclear {
		return found
	}
	now := c.now()
	kept, broke := known.keptOrBroke(request, look.EndedAt, now)
	switch {
	case kept > 0 && look.IsBroken && now.Sub(look.EndedAt) < BreakSettle:
		return LifeUndecided
	case kept > 0:
		return LifeContinues
	case brokeTogether(broke):
		return LifeEnded
	case look.IsBroken && now.Sub(look.EndedAt) >= BreakSettle:
		return c.askLife(ctx, to, request, look.EndedAt.Add(BreakSettle))
	case look.IsBroken || len(broke) > 0:
		return LifeUnclear
	}
	return LifeContinues
}

// keepSpare opens another connection to the process unless there is an idle one, and waits until
// the process can have accepted it. Whether it breaks as well tells the end of the process from a
// lost response.
func (c *Client) keepSpare(ctx context.Context, to endpoint) {
	acceptedAt, hasIdle := c.lives.of(to).idleAcceptedAt()
	if !hasIdle {
		spare, err := c.dial(ctx, to)
		if err != nil {
			return
		}
		c.putIdle(to, spare)
		acceptedAt = spare.acceptedAt()
	}
	_ = sleep.For(ctx, acceptedAt.Sub(c.now()))
}

// idleAcceptedAt returns by when the process has accepted an open connection that no exchange uses.
func (l *life) idleAcceptedAt() (earliest time.Time, hasIdle bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for candidate := range l.open {
		if candidate.inUse.Load() || !candidate.isOpen() {
			continue
		}
		if at := candidate.acceptedAt(); !hasIdle || at.Before(earliest) {
			earliest, hasIdle = at, true
		}
	}
	return earliest, hasIdle
}
