package gateway

import "time"

// refusal says how a request is refused whose route is missing or whose key is unknown.
type refusal int

const (
	// refuseForNow promises nothing: a newer configuration may have the route or key.
	// The caller is told to ask again.
	refuseForNow refusal = iota
	// refuseForGood says that the route or key doesn't exist.
	refuseForGood
)

// tableFacts is what a gateway knows of how new its table of routes and keys is.
type tableFacts struct {
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
	// isLost is set while the last call failed.
	isLost bool
}

// refusalOf decides how a request is refused whose route or key the table lacks.
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
func refusalOf(facts tableFacts) refusal {
	isNew := facts.isConfirmed && facts.age < facts.trustTime()
	if facts.needsProof {
		isNew = facts.isProved && facts.staleness < facts.applyLimit
	}
	if isNew {
		return refuseForGood
	}
	return refuseForNow
}

// trustTime is how long a table that isn't proved counts as the newest after the store
// confirmed it.
//
// While a watch is held there is nothing to tell, and its answer confirms the table
// again within the wait and the slack; a second slack is for the call that follows
// (chosen, not measured). Where the last call failed, changes may have been missed, and
// only those that are not yet due can't be among them: with the longer time a gateway
// refused a route for good that had been added 2.2 s before, where changes are due
// within 2 s.
func (f tableFacts) trustTime() time.Duration {
	if f.isLost {
		return f.applyLimit
	}
	return f.watchWait + 2*watchSlack
}

// isCertain tells the relay whether to refuse a missing route or unknown key for good.
func (g *Gateway) isCertain() bool { return refusalOf(g.tableFacts()) == refuseForGood }

// tableFacts gathers what is known now.
func (g *Gateway) tableFacts() tableFacts {
	facts := tableFacts{
		applyLimit: g.settings.ApplyLimit,
		watchWait:  watchWait(g.settings.UndisturbedTime),
		needsProof: g.settings.RevokeLimit > 0,
	}
	facts.staleness, facts.isProved = proof{g}.Staleness()
	facts.age, facts.isConfirmed = g.followers.configuration.Age()
	facts.isLost = g.followers.configuration.IsLost()
	return facts
}
