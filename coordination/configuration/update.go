package configuration

// Update carries configuration from one node to another.
type Update struct {
	// Version is what the receiver has afterwards.
	Version uint64
	// Base is the least version that the receiver must have for the objects to
	// apply; unused where Complete is set.
	Base uint64
	// Objects are those in force that changed after Base, removals among them;
	// all in force where Complete is set.
	Objects []Object
	// Rejected are the objects of the store that aren't in force, because they
	// are invalid.
	Rejected []Object
	// Complete says that the objects replace everything the receiver has.
	Complete bool
}

// updateSince returns what a node at the known version lacks.
func (s *Snapshot) updateSince(known uint64) Update {
	if s == nil {
		return Update{}
	}
	if known == 0 || known < s.removedAfter {
		return Update{Version: s.version, Objects: s.Objects(0), Complete: true}
	}
	update := Update{Version: s.version, Base: known, Objects: s.Objects(known)}
	for _, removal := range s.removed {
		if removal.since > known {
			update.Objects = append(update.Objects, removal.object)
		}
	}
	sortByKey(update.Objects)
	return update
}

// missing returns the removals that make the snapshot hold no other keys than
// the given ones.
func (s *Snapshot) missing(version uint64, keep map[Key]bool) []Object {
	if s == nil {
		return nil
	}
	var removals []Object
	for key := range s.entries {
		if !keep[key] {
			removals = append(removals, Object{Key: key, Version: version, Deleted: true})
		}
	}
	sortByKey(removals)
	return removals
}

// keysOf returns the keys of the objects.
func keysOf(objects []Object) map[Key]bool {
	keys := make(map[Key]bool, len(objects))
	for _, object := range objects {
		keys[object.Key] = true
	}
	return keys
}
