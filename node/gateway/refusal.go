package gateway

import "time"

// refusal says how a request is refused whose route is missing or whose key is unknown.
type refusal int

const (
	// refuseTemporarily promises nothing: a newer configuration may have the route or key.
	// The caller is told to ask again.
	refuseTemporarily refusal = iota
	// refusePermanently says that the route or key doesn't exist.
	refusePermanently
)

// tableFreshness is what a gateway knows of how new its table of routes and keys is.
type tableFreshness struct {
	// applyLimit is the time within which a change has to be in force here.
	applyLimit time.Duration
	// watchWait is how long a watch may be held without changes.
	watchWait time.Duration
	// needsProof is set where there is a limit for the use of removed keys, so that the
	// answers to this gateway's calls prove how new they are.
	needsProof bool
	// isProved is set once anything proved how new the table is, and staleness is how
	// long ago the store is known to have had nothing newer.
	isProved  bool
	staleness time.Duration
	// isConfirmed is set once the store has answered, itself or through a storage node,
	// and age is how long ago it last did.
	isConfirmed bool
	age         time.Duration
	// lastCallFailed is set while the last call failed.
	lastCallFailed bool
}

// decideRefusal decides how a request is refused whose route or key the table lacks.
//
// Refusing for good is right only if no newer configuration can have the route or key.
// A caller that is refused for now asks again and loses some time; one that is refused
// for good by an old table gives up what it was entitled to. So the table has to be
// new:
//
//   - Where proofs are needed, it has to be proved newer than the apply limit. What was
//     added later is not due yet.
//   - Otherwise the store has to have confirmed it within trustTime.
//   - Without any proof or confirmation a request is refused for now.
func decideRefusal(table tableFreshness) refusal {
	isNewest := table.isConfirmed && table.age < table.maxConfirmationAge()
	if table.needsProof {
		isNewest = table.isProved && table.staleness < table.applyLimit
	}
	if isNewest {
		return refusePermanently
	}
	return refuseTemporarily
}

// maxConfirmationAge is how long a table that isn't proved counts as the newest after the store
// confirmed it.
//
// While a watch is held there is nothing to tell, and its answer confirms the table
// again within the wait and the slack; a second slack is for the call that follows
// (chosen, not measured). Where the last call failed, changes may have been missed, and
// only those that are not yet due can't be among them: with the longer time a gateway
// refused a route for good that had been added 2.2 s before, where changes are due
// within 2 s.
func (f tableFreshness) maxConfirmationAge() time.Duration {
	if f.lastCallFailed {
		return f.applyLimit
	}
	return f.watchWait + 2*watchSlack
}

// isConfigurationNewest tells the relay whether to refuse a missing route or unknown key for good.
func (g *Gateway) isConfigurationNewest() bool {
	return decideRefusal(g.tableFreshness()) == refusePermanently
}

// tableFreshness gathers what is known now.
func (g *Gateway) tableFreshness() tableFreshness {
	freshness := tableFreshness{
		applyLimit: g.settings.ApplyLimit,
		watchWait:  watchWait(g.settings.UndisturbedTime),
		needsProof: g.settings.RevokeLimit > 0,
	}
	freshness.staleness, freshness.isProved = configurationFreshness{g}.Staleness()
	freshness.age, freshness.isConfirmed = g.followers.configuration.Age()
	freshness.lastCallFailed = g.followers.configuration.IsLost()
	return freshness
}
