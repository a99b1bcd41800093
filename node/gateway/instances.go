package gateway

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/follow"
)

// invalidEntries tracks the entries of instances that cannot be decoded. It needs no lock:
// only applyInstances uses it, which is never called concurrently.
type invalidEntries struct {
	// revisions maps the names of these entries to their revisions.
	revisions map[string]int64
	// counter and logger record each revision of such an entry once; logger is
	// rate-limited.
	counter prometheus.Counter
	logger  *zap.Logger
}

// record counts and logs an entry that cannot be decoded, unless this revision was
// recorded before. isKnown reports whether the instance is known from an earlier entry.
func (e *invalidEntries) record(object follow.Object, isKnown bool, err error) {
	if e.revisions[object.Name] == object.Revision {
		return
	}
	e.counter.Inc()
	e.logger.Warn("instance refused", zap.String("instance", object.Name),
		zap.Int64("revision", object.Revision), zap.Bool("known", isKnown), zap.Error(err))
}

// logVersions logs the software versions of each service whose versions have changed.
// It is never called concurrently.
func (g *Gateway) logVersions() {
	current := g.backends.Versions()
	for service, versions := range current {
		if !slices.Equal(versions, g.knownVersions[service]) {
			g.logger.Info("software versions changed", zap.String("service", service), zap.Strings("versions", versions))
		}
	}
	g.knownVersions = current
}

// applyInstances replaces the set of instances.
func (g *Gateway) applyInstances(snapshot follow.Snapshot) {
	gone, kept := g.backends.Replace(g.decodeInstances(snapshot))
	g.closeConnections(gone)
	if kept > 0 {
		g.logger.Warn("instance entries expired together, keeping the instances for now", zap.Int64("revision", snapshot.At), zap.Int("kept", kept))
		time.AfterFunc(backend.ExpiryGracePeriod, g.expireInstances)
	}
	g.logVersions()
	g.instancesListed.Store(true)
	known, leaving := g.backends.Count()
	g.logger.Info("instances changed", zap.Int64("revision", snapshot.At),
		zap.Int("known", known), zap.Int("leaving", leaving), zap.Strings("gone", gone))
}

// decodeInstances decodes the entries and skips invalid ones. If an invalid entry replaces
// a valid one, the instance completes its requests but gets no new ones until its entry is
// valid again.
func (g *Gateway) decodeInstances(snapshot follow.Snapshot) []backend.Instance {
	instances := make([]backend.Instance, 0, len(snapshot.Objects))
	invalid := make(map[string]int64)
	for _, object := range snapshot.Objects {
		instance, err := g.dependencies.DecodeInstance(object)
		if err == nil {
			instances = append(instances, instance)
			continue
		}
		invalid[object.Name] = object.Revision
		known, isKnown := g.backends.Lookup(object.Name)
		if isKnown {
			known.Leaving = true
			instances = append(instances, known)
		}
		g.invalidEntries.record(object, isKnown, err)
	}
	g.invalidEntries.revisions = invalid
	return instances
}

// expireInstances removes the instances whose entries expired and did not return in time.
func (g *Gateway) expireInstances() {
	gone := g.backends.Expire()
	g.closeConnections(gone)
	if len(gone) > 0 {
		g.logger.Info("expired instances removed", zap.Strings("gone", gone))
	}
}

// closeConnections closes the connections to removed instances.
func (g *Gateway) closeConnections(gone []string) {
	for _, instance := range gone {
		g.upstream.CloseInstance(instance)
	}
}

// onInstanceGone excludes an instance whose address now belongs to another one, until it
// restarts, and closes its connections.
func (g *Gateway) onInstanceGone(life backend.Incarnation) {
	g.backends.MarkAddressLost(life)
	g.upstream.CloseInstance(life.ID)
	g.logger.Info("instance address taken over by another instance", zap.String("instance", life.ID), startTimeField("started", life))
}

// onInstanceRestarted closes the connections to the earlier process of an instance that
// restarted with the same ID.
func (g *Gateway) onInstanceRestarted(restart backend.Restart) {
	g.upstream.CloseInstance(restart.Current.ID)
	g.logger.Info("instance started again", zap.String("instance", restart.Current.ID),
		startTimeField("before", restart.Previous), startTimeField("started", restart.Current), zap.Int64("under_way", restart.InFlight))
}

func startTimeField(key string, life backend.Incarnation) zap.Field {
	if life.Started.IsZero() {
		return zap.String(key, "unknown")
	}
	return zap.Time(key, life.Started)
}

// onInstanceEjected counts and logs the ejection of an instance, with the outcome of the
// request that caused it.
func (g *Gateway) onInstanceEjected(instance backend.Instance, ending backend.Outcome) {
	fields := []zap.Field{zap.String("instance", instance.ID), zap.String("service", instance.Service), zap.String("address", instance.Address)}
	switch e := ending.(type) {
	case backend.Completed:
		fields = append(fields, zap.String("last", "answered"), zap.Duration("wait", e.Wait), zap.Bool("faulty", e.ServerError))
	case backend.Failed:
		fields = append(fields, zap.String("last", "broken"))
	case backend.NoResponse:
		fields = append(fields, zap.String("last", "given up"), zap.Duration("wait", e.Wait))
	case backend.Inconclusive:
	}
	g.ejections.Inc()
	g.logger.Info("instance ejected", fields...)
}
