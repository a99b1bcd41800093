package configuration

import (
	"cmp"
	"slices"
)

// merged is the outcome of a merge.
type merged struct {
	snapshot *Snapshot
	// rejected are the candidates that aren't in force, oldest first.
	rejected []Object
	// faults say what is wrong with them.
	faults Faults
}

// merge puts as many of the candidates in force on top of the valid base as
// leave the whole valid. Of two objects that don't go together the newer one is
// left out, so that what is in force stays. The result depends only on the
// arguments.
func merge(base *Snapshot, version uint64, candidates []Object) merged {
	candidates = slices.Clone(candidates)
	sortByVersion(candidates)
	next, rejected := applyValid(base, version, candidates)
	next, rejected = retryRejected(next, version, rejected)
	result := merged{snapshot: next, rejected: rejected}
	for _, object := range rejected {
		_, err := next.Apply(version, []Object{object})
		if faults, is := err.(Faults); is {
			result.faults = append(result.faults, faults...)
		}
	}
	return result
}

// applyValid leaves out candidates that are to blame until the rest is valid.
func applyValid(base *Snapshot, version uint64, candidates []Object) (*Snapshot, []Object) {
	var rejected []Object
	for {
		next, faults := base.with(version, candidates)
		faults = append(faults, next.validate()...)
		if len(faults) == 0 {
			return next, rejected
		}
		blamed := blame(faults, candidates)
		isBlamed := func(object Object) bool { return blamed[object.Key] }
		for _, object := range candidates {
			if isBlamed(object) {
				rejected = append(rejected, object)
			}
		}
		candidates = slices.DeleteFunc(slices.Clone(candidates), isBlamed)
	}
}

// retryRejected adds the rejected candidates one by one, as long as one fits.
func retryRejected(snapshot *Snapshot, version uint64, rejected []Object) (*Snapshot, []Object) {
	sortByVersion(rejected)
	for again := true; again; {
		again = false
		var left []Object
		for _, object := range rejected {
			next, err := snapshot.Apply(version, []Object{object})
			if err != nil {
				left = append(left, object)
				continue
			}
			snapshot, again = next, true
		}
		rejected = left
	}
	return snapshot, rejected
}

// blame picks the candidates that the faults are due to: for each fault the
// newer one of the faulty object and the one it refers to. Since the base is
// valid, at least one candidate is to blame.
func blame(faults Faults, candidates []Object) map[Key]bool {
	version := make(map[Key]uint64, len(candidates))
	for _, object := range candidates {
		version[object.Key] = object.Version
	}
	blamed := make(map[Key]bool)
	for _, fault := range faults {
		faulty, isCandidate := version[fault.Key]
		referred, refersToCandidate := version[fault.reference]
		switch {
		case refersToCandidate && (!isCandidate || referred > faulty):
			blamed[fault.reference] = true
		case isCandidate:
			blamed[fault.Key] = true
		}
	}
	if len(blamed) == 0 {
		blamed[candidates[len(candidates)-1].Key] = true
	}
	return blamed
}

func sortByVersion(objects []Object) {
	slices.SortStableFunc(objects, func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), a.Key.compare(b.Key))
	})
}
