package relay

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/coordination/streamorigin"
	"github.com/marblering/marblering/state/result"
)

// errVersionGone means that a stream can't be continued: no instance of the service takes
// requests at the software version that began it.
var errVersionGone = errors.New("no instance of the version that began the stream is left")

// isResumption reports whether the client resumes a broken stream.
func (c *call) isResumption() bool {
	return c.routing.route != nil && c.routing.route.Kind == routetable.Stream && c.input.info.LastEventID != ""
}

// findOrigin sets the origin of the stream that the client resumes. It fails if that isn't
// known, or if no instance can continue the stream.
func (c *call) findOrigin(ctx context.Context) *result.Error {
	metrics := c.handler.options.Metrics
	if !c.response.order.resume(c.input.info.LastEventID) {
		metrics.countResumption(originUnknown)
		return result.Errorf(result.StreamOriginUnknown, "nothing tells what follows an event whose id isn't a number")
	}
	origin, err := c.decideOrigin(ctx)
	switch {
	case errors.Is(err, streamorigin.ErrUnknown):
		metrics.countResumption(originUnknown)
		return result.Errorf(result.StreamOriginUnknown, "%v", err)
	case err != nil:
		metrics.countResumption(originUnavailable)
		return unreadableOrigin.errorf("%v", err)
	}
	c.stream.isKnown, c.stream.origin, c.stream.changes = true, origin, c.stream.finding.Change
	isServiceGone := c.isServiceGone()
	if isServiceGone && !c.configurationAge().IsNewerThan(c.stream.finding) {
		metrics.countResumption(originUnavailable)
		return outdatedConfiguration.errorf("the stream began at %s, to which the route may lead in a newer configuration", origin.Service)
	}
	if isServiceGone || c.isVersionGone() {
		metrics.countResumption(versionGone)
		return result.Errorf(result.StreamVersionGone, "the stream began at version %q of %s: %v", origin.Version, origin.Service, errVersionGone)
	}
	metrics.countResumption(originFound)
	return nil
}

// decideOrigin returns where the stream that the client resumes began.
func (c *call) decideOrigin(ctx context.Context) (streamorigin.Origin, error) {
	began := c.input.info.Resumes
	if began == "" {
		return streamorigin.Origin{}, streamorigin.ErrUnknown
	}
	c.stream.finding = c.handler.options.Origins.Find(ctx, c.streamKey(began))
	return streamorigin.Decide(c.stream.finding)
}

func (c *call) listAge() streamorigin.ListAge {
	age, known := c.handler.options.InstancesAge()
	return streamorigin.ListAge{Age: age, Known: known}
}

// configurationAge returns the age of the configuration that the request is routed by.
func (c *call) configurationAge() streamorigin.ListAge {
	since := c.handler.options.Now().Sub(c.timing.arrived)
	return streamorigin.ListAge{Age: c.routing.configAge + since, Known: c.routing.configAgeKnown}
}

// isServiceGone reports whether the route no longer leads to the service that began the
// stream.
func (c *call) isServiceGone() bool {
	return !slices.ContainsFunc(c.routing.route.Targets, func(target routetable.Target) bool {
		return target.Service == c.stream.origin.Service
	})
}

// isVersionGone reports whether no instance takes requests at the version that began the
// stream. With an outdated list of instances that isn't certain, nor with one that is older than
// the stream that a client resumes: its version may have joined since.
func (c *call) isVersionGone() bool {
	origin := c.stream.origin
	age := c.listAge() // of the list that is asked, or of an earlier one
	isListed := c.handler.options.Backends.AcceptsVersion(origin.Service, origin.Version)
	return !isListed && age.IsCurrent() && (!c.isResumption() || age.IsNewerThan(c.stream.finding))
}

// originFields returns log fields that tell where the stream began that the client resumes.
func (c *call) originFields() []zap.Field {
	return []zap.Field{
		zap.String("resumes", c.input.info.Resumes), zap.String("last_event", c.input.info.LastEventID),
		zap.String("began_at", c.stream.origin.Version), zap.Bool("on_record", c.stream.finding.Known),
		zap.Duration("record_age", c.stream.finding.Age), zap.Bool("all_asked", c.stream.finding.Answered),
		zap.Duration("list_age", c.listAge().Age),
	}
}
