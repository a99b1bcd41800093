package gateway

import "time"

// refusal is how a request with a missing route or an unknown key is refused.
type refusal int

const (
	// refuseTemporarily tells the caller to retry, since a newer configuration may have the
	// route or key.
	refuseTemporarily refusal = iota
	// refusePermanently tells the caller that the route or key does not exist.
	refusePermanently
)

// tableFreshness is what a gateway knows about the freshness of its table of routes and
// keys.
type tableFreshness struct {
	// applyLimit is the time within which a change must be applied.
	applyLimit time.Duration
	// watchWait is how long the store may hold a watch call without changes.
	watchWait time.Duration
	// needsProof is set if there is a revoke limit, so that answers prove their freshness.
	needsProof bool
	// isProved is set after the first proof of freshness. staleness is how long ago the
	// table was last proven to be the newest.
	isProved  bool
	staleness time.Duration
	// isConfirmed is set after the first answer of the store, directly or through a storage
	// node. age is the time since the last one that was applied.
	isConfirmed bool
	age         time.Duration
	// lastCallFailed is set if the last call to follow the configuration failed.
	lastCallFailed bool
	// isNewerInvalid is set if a newer configuration can't be used here.
	isNewerInvalid bool
}

// decideRefusal decides how to refuse a request whose route or key is not in the table.
//
// A temporary refusal costs the caller a retry. A permanent one is wrong if a newer
// configuration has the route or key, since the caller does not retry. It therefore
// requires a table that is known to be the newest:
//
//   - If proofs are needed, the staleness must be below the apply limit: later changes need
//     not be applied yet.
//   - Otherwise the last confirmation by the store must be younger than maxConfirmationAge.
//   - Without any proof or confirmation, or while a newer configuration is invalid here, the
//     refusal is temporary.
func decideRefusal(table tableFreshness) refusal {
	isNewest := table.isConfirmed && table.age < table.maxConfirmationAge()
	if table.needsProof {
		isNewest = table.isProved && table.staleness < table.applyLimit
	}
	if isNewest && !table.isNewerInvalid {
		return refusePermanently
	}
	return refuseTemporarily
}

// maxConfirmationAge returns how long a table without proofs counts as the newest after a
// confirmation by the store.
//
// A watch call without changes confirms the table again within its wait and grace. The
// second grace covers the next call. After a failed call, changes may have been missed, so
// the table counts as the newest only until those must be applied.
func (f tableFreshness) maxConfirmationAge() time.Duration {
	if f.lastCallFailed {
		return f.applyLimit
	}
	return f.watchWait + 2*watchGrace
}

// isConfigurationNewest reports whether a missing route or an unknown key is refused
// permanently.
func (g *Gateway) isConfigurationNewest() bool {
	return decideRefusal(g.tableFreshness()) == refusePermanently
}

// tableFreshness returns the current freshness of the active table.
func (g *Gateway) tableFreshness() tableFreshness {
	freshness := tableFreshness{
		applyLimit: g.settings.ApplyLimit,
		watchWait:  watchWait(g.settings.UndisturbedTime),
		needsProof: g.settings.RevokeLimit > 0,
	}
	freshness.staleness, freshness.isProved = configurationFreshness{g}.Staleness()
	freshness.age, freshness.isConfirmed = g.followers.configuration.ViewAge()
	freshness.lastCallFailed = g.followers.configuration.IsLost()
	// Read last: the follower counts an answer only after it was applied or found invalid.
	freshness.isNewerInvalid = g.configurationInvalid.Load()
	return freshness
}
