package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/coordination/streamorigin"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/transport/upstream"
)

// maxUnambiguousReservation is a reservation time after which no other storage node can have
// been asked before: it is shorter than the time allowed for the first one.
const maxUnambiguousReservation = 300 * time.Millisecond

// errOriginFixed means that the origin of a stream can't be changed, since a storage node
// that was asked to reserve its tokens may record the earlier one later.
var errOriginFixed = errors.New("another storage node may record the version planned first")

// stream is where the response stream of a request began, or is going to begin. Another
// service or version can't continue it, since it doesn't generate the same events.
type stream struct {
	// isKnown is set if the request is a stream that may be resumed.
	isKnown bool
	origin  streamorigin.Origin
	// changes counts the changes of the origin before the first event.
	changes uint32
	// mayBeRecorded is set once a storage node may have a record of the origin.
	mayBeRecorded bool
	// reservationTime is how long the reservation that records the origin took.
	reservationTime time.Duration
	// recording is closed once storage nodes have been asked to record the origin; nil if
	// they aren't asked.
	recording chan struct{}
	// finding is what storage nodes know of the stream that the client resumes.
	finding streamorigin.Finding
}

// locateStream finds out where a stream that the client resumes began, or plans where a new
// one begins. Retained turns are never resumed by clients, see beginTurn.
func (c *call) locateStream(ctx context.Context) *result.Error {
	route := c.routing.route
	switch {
	case route.Kind != routetable.Stream:
	case c.isResumption():
		if !route.Retained {
			return c.findOrigin(ctx)
		}
	case route.Resumable:
		c.planOrigin(ctx)
	}
	return nil
}

// planOrigin decides where a new stream begins, unless no instance can take it now. Its
// turn's reservation records the origin, or recordOrigin if there is no reservation.
func (c *call) planOrigin(ctx context.Context) {
	query := c.query()
	version, found := c.handler.options.Backends.PlanVersion(query)
	if !found {
		return
	}
	c.stream.isKnown = true
	c.stream.origin = streamorigin.Origin{Service: query.Service, Version: version}
	if !c.reservationRecordsOrigin() {
		c.recordOrigin(ctx)
	}
}

// acquireUnplanned selects any instance. A stream that may be resumed begins there: none
// could take it when its origin was planned, and its reservation has recorded none.
func (c *call) acquireUnplanned(ctx context.Context) (*backend.Assignment, error) {
	query := c.query()
	assignment, err := c.handler.options.Backends.Acquire(query)
	if err != nil {
		return nil, err
	}
	if route := c.routing.route; route.Kind == routetable.Stream && route.Resumable {
		c.stream.isKnown = true
		c.stream.origin = streamorigin.Origin{Service: query.Service, Version: assignment.Instance.Version}
		c.recordOrigin(ctx)
	}
	return assignment, nil
}

// recordOrigin asks storage nodes to record the origin of a new stream that a client may
// resume. It doesn't wait for them.
func (c *call) recordOrigin(ctx context.Context) {
	if !c.isRecordable() {
		return
	}
	c.stream.mayBeRecorded = true
	recording := make(chan struct{})
	c.stream.recording = recording
	record := c.originRecord()
	go func() {
		defer close(recording)
		if err := c.handler.options.Origins.Record(ctx, record); err != nil {
			c.handler.options.Logger.Info("stream origin not recorded", zap.String("request", record.Request), zap.Error(err))
		}
	}()
}

// copyOrigin has the record copied to all storage nodes that should have it, once the origin
// can't change any more. A resumption renews the record.
func (c *call) copyOrigin() {
	if !c.stream.isKnown || !c.routing.route.Resumable || c.routing.route.Retained {
		return
	}
	if record := c.originRecord(); !c.handler.options.Origins.Copy(record) {
		c.handler.options.Logger.Info("stream origin not copied", zap.String("request", record.Request))
	}
}

// fixOrigin is called before an event is sent. The origin is on record after it and doesn't
// change any more, so that a client that has the event can resume the stream elsewhere.
func (c *call) fixOrigin(ctx context.Context, current *attempt) error {
	if c.response.headerWritten {
		return nil
	}
	if current.request.IsUnlisted || current.assignment.IsReplaced() {
		if err := c.recordUncertainOrigin(ctx, current); err != nil {
			return err
		}
	}
	if c.stream.recording != nil {
		<-c.stream.recording
	}
	c.copyOrigin()
	return nil
}

// recordUncertainOrigin records that nobody knows where the stream begins: the instance was
// started again, maybe at another version. A resumed stream can't go on there.
func (c *call) recordUncertainOrigin(ctx context.Context, current *attempt) error {
	if !c.stream.isKnown {
		return nil
	}
	if c.isOriginFixed() {
		return upstream.ErrUnlisted
	}
	c.handler.options.Logger.Info("stream origin uncertain", append([]zap.Field{zap.String("request", c.input.info.ID)},
		lifeFields(&current.assignment.Instance)...)...)
	return c.changeOrigin(ctx, streamorigin.Origin{})
}

// isRecordable reports whether a client may resume the stream that the request begins.
func (c *call) isRecordable() bool {
	return c.stream.isKnown && c.routing.route.Resumable && !c.routing.route.Retained && !c.isResumption()
}

// reservationRecordsOrigin reports whether the reservation of the turn's tokens records the
// origin.
func (c *call) reservationRecordsOrigin() bool {
	return c.isRecordable() && c.input.info.TokenBudget > 0 && c.input.info.Program != ""
}

// originForReservation returns the record for the reservation of the turn's tokens, or nil.
func (c *call) originForReservation() *streamorigin.Record {
	if !c.reservationRecordsOrigin() {
		return nil
	}
	c.stream.mayBeRecorded = true
	record := c.handler.options.Origins.Stamp(c.originRecord())
	return &record
}

// originRecord returns the record of the stream under the id of the request that began it.
func (c *call) originRecord() streamorigin.Record {
	began := c.input.info.ID
	if c.isResumption() {
		began = c.input.info.Resumes
	}
	return streamorigin.Record{Key: c.streamKey(began), Origin: c.stream.origin, Change: c.stream.changes}
}

// streamKey returns the key of the stream that a request of this client's program began.
func (c *call) streamKey(request string) streamorigin.Key {
	return streamorigin.Key{Request: request, Program: c.input.info.Program, Tenant: c.tenantName()}
}

// isOriginFixed reports whether the client has events of the stream.
func (c *call) isOriginFixed() bool { return c.response.headerWritten || c.isResumption() }

// acquireAtOrigin selects an instance for a stream that may be resumed. Once the client has
// events, only its version will do. Before that, the first attempt keeps to the plan, so
// that the origin on record is right, and later ones may change it.
func (c *call) acquireAtOrigin(ctx context.Context) (*backend.Assignment, error) {
	backends := c.handler.options.Backends
	query := c.query()
	if c.isOriginFixed() || len(c.attempts.instances) == 0 {
		query.Version = &c.stream.origin.Version
		assignment, err := backends.Acquire(query)
		if err != nil && c.attempts.isUnconfirmed {
			query.Tried = c.attempts.triedBeforeLast()
			assignment, err = backends.Acquire(query)
		}
		switch {
		case err == nil:
			return assignment, nil
		case c.isOriginFixed() && c.isVersionGone():
			return nil, errVersionGone
		case c.isOriginFixed():
			return nil, err
		}
		query.Version = nil
	}
	assignment, err := backends.Acquire(query)
	if err != nil {
		return nil, err
	}
	if err := c.changeOrigin(ctx, streamorigin.Origin{Service: query.Service, Version: assignment.Instance.Version}); err != nil {
		assignment.Release(backend.Inconclusive{})
		return nil, err
	}
	return assignment, nil
}

// changeOrigin records where the stream begins after all. It fails if an earlier record can't
// be superseded: another gateway might resume the stream by it.
func (c *call) changeOrigin(ctx context.Context, origin streamorigin.Origin) error {
	if c.stream.origin == origin {
		return nil
	}
	before := c.stream.origin
	c.stream.origin = origin
	if !c.isRecordable() {
		return nil
	}
	if c.stream.reservationTime > maxUnambiguousReservation {
		c.stream.origin = before
		return errOriginFixed
	}
	// A change bears no earlier epoch than the record that it supersedes.
	if c.stream.recording != nil {
		<-c.stream.recording
	}
	c.stream.changes++
	err := c.handler.options.Origins.Record(ctx, c.originRecord())
	if err != nil && c.stream.mayBeRecorded {
		c.stream.origin = before
		return err
	}
	c.stream.mayBeRecorded = c.stream.mayBeRecorded || !errors.Is(err, streamorigin.ErrNoNodes)
	return nil
}
