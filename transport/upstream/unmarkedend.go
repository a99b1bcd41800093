package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

// endCheckTimeout bounds the question to a process whose response ended with its connection. One that is
// busy may be slow to answer.
const endCheckTimeout = time.Second

// ErrProcessEnded means that the process ended with the connection that alone marks the end of its
// response: the system closes the connections of a process that was killed like those of one that
// has said all.
var ErrProcessEnded = errors.New("the process ended with the connection of its answer")

// EndSign is what shows that a process has ended.
type EndSign string

// Signs of the end of a process.
const (
	EndNoConnection  EndSign = "no_connection"
	EndNoAnswer      EndSign = "no_answer"
	EndOtherInstance EndSign = "other_instance"
	EndOtherStart    EndSign = "other_start"
)

// EndedError is an ErrProcessEnded that tells what has shown the end.
type EndedError struct {
	Sign EndSign
	// Instance is the one that has answered; empty if none has named itself.
	Instance string
}

// Error implements error.
func (e *EndedError) Error() string {
	return fmt.Sprintf("%v: %s, instance %q", ErrProcessEnded, e.Sign, e.Instance)
}

// Unwrap returns ErrProcessEnded.
func (e *EndedError) Unwrap() error { return ErrProcessEnded }

var errRequestNotWritten = errors.New("the connection ended before the request was written")

// confirmEnd returns an error unless the end of the connection may be that of the body: the process has
// to run on for settle, within the context of the request. A reset is reported once: if it ends the
// writing of the request, the reader gets an orderly end.
func (e *exchange) confirmEnd(settle time.Duration) error {
	ended := e.client.now()
	known := e.connection.life
	before := known.idleBefore(ended)
	ctx, cancel := context.WithTimeout(e.ctx, settle+endCheckTimeout)
	defer cancel()
	if !e.awaitWritten(ctx) {
		return errRequestNotWritten
	}
	if e.client.settings.Identity != nil {
		if err := sleep.For(ctx, settle-e.client.now().Sub(ended)); err != nil {
			return err
		}
		return e.client.confirmProcess(ctx, e.endpoint, ended.Add(settle))
	}
	if e.hasProcessEnded(ctx) {
		return ErrProcessEnded
	}
	after := known.idleSince(ended.Add(-acceptTime))
	// The connections of a process don't break at the same moment, and the system may accept new
	// ones for it until all have.
	_ = sleep.For(ctx, max(settle, EndSkew)-e.client.now().Sub(ended))
	switch look(before) {
	case runningSeen:
		return nil
	case endSeen:
		return ErrProcessEnded
	}
	if known.wasRefused(ended) || look(after) == endSeen || e.hasProcessEnded(ctx) {
		return ErrProcessEnded
	}
	return nil
}

// processCheck is what a question to a process has shown.
type processCheck struct {
	askedAt time.Time
	// isNamed is set if the process has shown by its start that it is the listed one. Without that and an
	// error, some process of the instance may have answered.
	isNamed bool
	err     error
}

// confirmProcess returns an *EndedError unless the listed process answers a question that is asked after
// the given time. Ends of answers of the same process share questions.
func (c *Client) confirmProcess(ctx context.Context, to endpoint, after time.Time) error {
	last, err := c.checkAfter(ctx, to, after)
	if err != nil {
		return err
	}
	return last.err
}

// askLife returns what the listed process answers to a question that is asked after the given time.
// Where neither it nor another one shows which it is, its end is unclear. So it is where another start
// answers that may have got the request itself.
func (c *Client) askLife(ctx context.Context, to endpoint, request *Request, after time.Time) Life {
	if c.settings.Identity == nil {
		return LifeUnclear
	}
	last, err := c.checkAfter(ctx, to, after)
	if err != nil {
		return LifeUnclear
	}
	if last.isNamed {
		return LifeContinues
	}
	var ended *EndedError
	if !errors.As(last.err, &ended) {
		return LifeUnclear
	}
	hasListedRun := request.ChecksProcess && !request.IsUnlisted
	if ended.Sign == EndOtherInstance || ended.Sign == EndOtherStart && hasListedRun {
		return LifeEnded
	}
	return LifeUnclear
}

// checkAfter returns what a question has shown that was asked after the given time, or the error of the
// context. Concurrent calls share questions.
func (c *Client) checkAfter(ctx context.Context, to endpoint, after time.Time) (*processCheck, error) {
	known := c.lives.of(to)
	for {
		if last := known.lastCheck.Load(); last.isAskedAfter(after) {
			return last, nil
		}
		asking := c.processChecks.DoChan(to.String(), func() (any, error) {
			// Another question may have been answered in the meantime.
			if last := known.lastCheck.Load(); last.isAskedAfter(after) {
				return last, nil
			}
			return c.refreshCheck(to, known), nil
		})
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case found := <-asking:
			// A later question may have shown that the process has ended since.
			if check := found.Val.(*processCheck); check.isAskedAfter(after) {
				return check, nil
			}
		}
	}
}

// isAskedAfter reports whether there is a check and it was made at the given time or later.
func (p *processCheck) isAskedAfter(then time.Time) bool { return p != nil && !p.askedAt.Before(then) }

// refreshCheck asks the process and keeps what that has shown.
func (c *Client) refreshCheck(to endpoint, known *life) *processCheck {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	check := &processCheck{askedAt: c.now()}
	check.isNamed, check.err = c.askProcess(ctx, to)
	known.lastCheck.Store(check)
	return check
}

// askProcess returns an *EndedError unless the listed process answers on a new connection, and whether it
// has shown that it is the listed one. One that is ending may still get the connection, but says
// nothing on it.
func (c *Client) askProcess(ctx context.Context, to endpoint) (isNamed bool, err error) {
	asked, err := c.dial(ctx, to)
	if err != nil {
		return false, &EndedError{Sign: EndNoConnection}
	}
	instance, isReusable, err := c.askInstance(ctx, to, asked)
	switch {
	case err != nil:
		asked.close()
		return false, &EndedError{Sign: EndNoAnswer}
	case instance != "" && instance != to.instance:
		asked.close()
		return false, &EndedError{Sign: EndOtherInstance, Instance: instance}
	}
	if instance != "" && to.started == 0 {
		c.keep(to, asked, isReusable)
		return false, nil // the next process of an instance may have its ID
	}
	if !isReusable {
		asked.close()
		if asked, err = c.dial(ctx, to); err != nil {
			return false, &EndedError{Sign: EndNoConnection}
		}
	}
	return c.askListedStart(ctx, to, asked)
}

// keep keeps a connection that can take another request, and closes any other.
func (c *Client) keep(to endpoint, asked *connection, isReusable bool) {
	if isReusable {
		c.putIdle(to, asked)
		return
	}
	asked.close()
}

// askListedStart is askProcess for the question when the process started.
func (c *Client) askListedStart(ctx context.Context, to endpoint, asked *connection) (isNamed bool, err error) {
	started, known, err := c.askStart(ctx, to, asked)
	isTold := err == nil && known && to.started != 0
	if isTold && started.UnixNano() != to.started {
		asked.close()
		return false, &EndedError{Sign: EndOtherStart}
	}
	if err != nil && !errors.Is(err, errNoIdentity) {
		asked.close()
		return false, &EndedError{Sign: EndNoAnswer}
	}
	c.keep(to, asked, err == nil) // one with another answer than expected can't be used
	return isTold, nil
}

// awaitWritten waits until the request was written, and reports whether it was. An answer may come
// before its process has read the whole request, and before the writer has noted its own end.
func (e *exchange) awaitWritten(ctx context.Context) bool {
	select {
	case <-e.written:
	case <-ctx.Done():
	}
	return e.wasWritten()
}

func (e *exchange) hasProcessEnded(ctx context.Context) bool {
	found := e.client.probeEnd(ctx, e.endpoint, 0)
	return found == LifeEnded || found == LifeSilent
}

// maxWitnessIdle is how long a witness may have been idle, so that its process doesn't close it
// for that during the check.
const maxWitnessIdle = minIdleClose - 2*EndSkew

// witness is an idle connection to a process, which only the end of the process breaks.
type witness struct {
	connection *connection
	// lastUse is when it was last used as the witness was chosen.
	lastUse time.Time
}

// idleBefore returns the idle connections that the process had accepted by then, and won't close
// soon because they are idle.
func (l *life) idleBefore(at time.Time) (idle []witness) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for candidate := range l.open {
		lastUse := candidate.lastUse()
		isIdle := !candidate.inUse.Load() && at.Sub(lastUse) < maxWitnessIdle
		if isIdle && !candidate.acceptedAt().After(at) {
			idle = append(idle, witness{candidate, lastUse})
		}
	}
	return idle
}

// idleSince returns the idle connections that were opened since then. The process that accepted them
// may be about to end.
func (l *life) idleSince(then time.Time) (idle []witness) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for candidate := range l.open {
		if !candidate.inUse.Load() && !candidate.opened.Before(then) {
			idle = append(idle, witness{candidate, candidate.lastUse()})
		}
	}
	return idle
}

// sight is what connections to a process show of it.
type sight int

const (
	nothingSeen sight = iota
	runningSeen
	endSeen
)

// look returns what the connections show: one that is open that the process runs, otherwise one
// that is broken that it has ended. One that was used since, or that this process has closed, shows
// nothing.
func look(witnesses []witness) sight {
	seen := nothingSeen
	for _, one := range witnesses {
		candidate := one.connection
		isUsed := candidate.inUse.Load() || !candidate.lastUse().Equal(one.lastUse)
		switch {
		case candidate.isEstablished():
			return runningSeen
		case !isUsed && (!candidate.isClosed.Load() || candidate.closedAt.Load() != 0):
			seen = endSeen
		}
	}
	return seen
}
