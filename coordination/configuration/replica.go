package configuration

import "slices"

// replica is one node's copy of the configuration: what is in force, and which
// objects of the store aren't because they are invalid. It does no I/O and
// isn't safe for concurrent use.
type replica struct {
	snapshot *Snapshot
	// seen is the store's revision up to which every change was looked at.
	seen uint64
	// read is set once the store has been looked at, here or at a peer.
	read     bool
	rejected []Object
	faults   Faults
}

// verdict is what became of an update or a list.
type verdict int

const (
	// verdictTaken: the replica's version is at least the given one.
	verdictTaken verdict = iota
	// verdictNeedsMore: the update builds on a version that is missing here.
	verdictNeedsMore
	// verdictInvalid: this node finds an object in force elsewhere invalid.
	verdictInvalid
	// verdictStale: the list is older than what is in force.
	verdictStale
)

// learnEvent takes in one change of the store. Events must come in order and
// without a gap after seen; older ones are skipped.
func (r *replica) learnEvent(event Event) {
	if event.Revision <= r.seen {
		return
	}
	r.seen, r.read = event.Revision, true
	object := event.Object
	if object == nil || !object.Kind.Known() || event.Revision <= r.snapshot.Version() {
		return
	}
	r.take(merge(r.snapshot, event.Revision, append(r.otherRejected(object.Key), *object)))
}

// learnList takes in the whole store at one revision. An invalid whole is only
// taken where repair is set: what can be made out of it may differ from what
// the nodes have that saw the changes one by one.
func (r *replica) learnList(list Listing, repair bool) verdict {
	if list.Revision < r.snapshot.Version() || list.Revision < r.seen {
		return verdictStale
	}
	objects := knownObjects(list.Objects)
	removals := r.snapshot.missing(list.Revision, keysOf(objects))
	candidates := append(objects, removals...)
	// The list's revision is the version, although nothing may have changed at
	// it: a lower one could be taken for an older state that held more objects.
	outcome := merge(r.snapshot, list.Revision, candidates)
	if len(outcome.faults) > 0 && !repair {
		r.faults = outcome.faults
		return verdictInvalid
	}
	r.seen, r.read = list.Revision, true
	outcome.snapshot.forgetRemovals()
	r.take(outcome)
	return verdictTaken
}

// learnUpdate takes in what another node has in force, as it is.
func (r *replica) learnUpdate(update Update) (verdict, Faults) {
	if update.Version <= r.snapshot.Version() {
		return verdictTaken, nil
	}
	if !update.Complete && update.Base > r.snapshot.Version() {
		return verdictNeedsMore, nil
	}
	// The other node may have missed the last valid version of an object that is
	// invalid now; this one keeps it, if it still fits.
	next, faults := r.with(update, update.Rejected)
	if len(faults) > 0 && len(update.Rejected) > 0 {
		next, faults = r.with(update, nil)
	}
	if len(faults) > 0 {
		r.faults = faults
		return verdictInvalid, faults
	}
	if update.Complete {
		next.forgetRemovals()
	}
	outcome := merge(next, update.Version, update.Rejected)
	outcome.snapshot = next
	outcome.rejected = update.Rejected
	r.read = true
	r.take(outcome)
	return verdictTaken, nil
}

// with returns the snapshot that the update leads to. A complete one removes
// everything that is neither in it nor among the kept.
func (r *replica) with(update Update, kept []Object) (*Snapshot, Faults) {
	objects := update.Objects
	if update.Complete {
		known := keysOf(slices.Concat(update.Objects, kept))
		objects = slices.Concat(objects, r.snapshot.missing(update.Version, known))
	}
	next, faults := r.snapshot.with(update.Version, objects)
	return next, append(faults, next.validate()...)
}

// update returns what a node at the known version lacks.
func (r *replica) update(known uint64) Update {
	update := r.snapshot.updateSince(known)
	update.Rejected = r.rejected
	return update
}

// watchFrom is the revision after which this node needs the store's changes.
func (r *replica) watchFrom() uint64 { return max(r.seen, r.snapshot.Version()) }

// rejects tells whether that version of the object isn't in force because it
// is invalid.
func (r *replica) rejects(key Key, version uint64) bool {
	return slices.ContainsFunc(r.rejected, func(object Object) bool {
		return object.Key == key && object.Version == version
	})
}

func (r *replica) take(outcome merged) {
	r.snapshot = outcome.snapshot
	r.rejected = outcome.rejected
	r.faults = outcome.faults
}

// otherRejected returns the rejected objects but the one of the key.
func (r *replica) otherRejected(key Key) []Object {
	return slices.DeleteFunc(slices.Clone(r.rejected), func(object Object) bool {
		return object.Key == key
	})
}

// knownObjects returns those of the kinds of configuration.
func knownObjects(objects []Object) []Object {
	return slices.DeleteFunc(slices.Clone(objects), func(object Object) bool {
		return !object.Kind.Known()
	})
}
