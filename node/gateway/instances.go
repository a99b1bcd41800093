package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/follow"
)

// invalidEntries are the invalidEntries of instances that can't be read. Only applyInstances uses
// them, which is called one at a time.
type invalidEntries struct {
	// revisions are the revisions of these entries, by name.
	revisions map[string]int64
	// counter counts such entries, once a change of each; logger logs them, within
	// bounds.
	counter prometheus.Counter
	logger  *zap.Logger
}

// record notes an entry that can't be read, unless it was noted before. isKnown tells
// that an earlier entry of the name could be read.
func (e *invalidEntries) record(object follow.Object, isKnown bool, err error) {
	if e.revisions[object.Name] == object.Revision {
		return
	}
	e.counter.Inc()
	e.logger.Warn("instance refused", zap.String("instance", object.Name),
		zap.Int64("revision", object.Revision), zap.Bool("known", isKnown), zap.Error(err))
}

// applyInstances replaces the instances that requests are sent to.
func (g *Gateway) applyInstances(snapshot follow.Snapshot) {
	gone, kept := g.backends.Replace(g.decodeInstances(snapshot))
	g.closeConnections(gone)
	if kept > 0 {
		g.logger.Warn("entries of instances have lapsed", zap.Int64("revision", snapshot.At), zap.Int("kept", kept))
		time.AfterFunc(backend.LapseTime, g.expireInstances)
	}
	g.instancesListed.Store(true)
	known, leaving := g.backends.Count()
	g.logger.Info("instances changed", zap.Int64("revision", snapshot.At),
		zap.Int("known", known), zap.Int("leaving", leaving), zap.Strings("gone", gone))
}

// decodeInstances reads the entries. One that can't be read names no instance: where an
// earlier entry did, that instance gets nothing new until an entry names it again, and
// ends what it has.
func (g *Gateway) decodeInstances(snapshot follow.Snapshot) []backend.Instance {
	instances := make([]backend.Instance, 0, len(snapshot.Objects))
	invalid := make(map[string]int64)
	for _, object := range snapshot.Objects {
		instance, err := g.parts.DecodeInstance(object)
		if err == nil {
			instances = append(instances, instance)
			continue
		}
		invalid[object.Name] = object.Revision
		known, isKnown := g.backends.Known(object.Name)
		if isKnown {
			known.Leaving = true
			instances = append(instances, known)
		}
		g.invalidEntries.record(object, isKnown, err)
	}
	g.invalidEntries.revisions = invalid
	return instances
}

// expireInstances drops the instances that lapsed and didn't come back.
func (g *Gateway) expireInstances() {
	gone := g.backends.Expire()
	g.closeConnections(gone)
	if len(gone) > 0 {
		g.logger.Info("lapsed instances dropped", zap.Strings("gone", gone))
	}
}

// closeConnections closes the connections to instances that are gone.
func (g *Gateway) closeConnections(gone []string) {
	for _, instance := range gone {
		g.upstream.Forget(instance)
	}
}

// onInstanceGone leaves out an instance whose address another one has, and closes its
// connections. It is used again once it is started again.
func (g *Gateway) onInstanceGone(life backend.Life) {
	g.backends.Gone(life)
	g.upstream.Forget(life.ID)
	g.logger.Info("instance lost its address", zap.String("instance", life.ID), startTimeField("started", life))
}

// onInstanceRestarted closes the connections to an instance that was started again under
// its id: its earlier process answers nobody any more.
func (g *Gateway) onInstanceRestarted(restart backend.Restart) {
	g.upstream.Forget(restart.Is.ID)
	g.logger.Info("instance started again", zap.String("instance", restart.Is.ID),
		startTimeField("before", restart.Was), startTimeField("started", restart.Is), zap.Int64("under_way", restart.UnderWay))
}

func startTimeField(key string, life backend.Life) zap.Field {
	if life.Started.IsZero() {
		return zap.String(key, "unknown")
	}
	return zap.Time(key, life.Started)
}

// onInstanceEjected logs an instance that is left out for a while, with how the request
// ended that decided it.
func (g *Gateway) onInstanceEjected(instance backend.Instance, ending backend.Ending) {
	fields := []zap.Field{zap.String("instance", instance.ID), zap.String("service", instance.Service), zap.String("address", instance.Address)}
	switch e := ending.(type) {
	case backend.Answered:
		fields = append(fields, zap.String("last", "answered"), zap.Duration("wait", e.Wait), zap.Bool("faulty", e.Faulty))
	case backend.Broken:
		fields = append(fields, zap.String("last", "broken"))
	case backend.Waited:
		fields = append(fields, zap.String("last", "given up"), zap.Duration("wait", e.Wait))
	case backend.Unjudged:
	}
	g.ejections.Inc()
	g.logger.Info("instance ejected", fields...)
}
