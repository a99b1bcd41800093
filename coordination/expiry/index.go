package expiry

import (
	"maps"
	"slices"
	"time"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

// index records which turns are stored, and until when each is needed.
type index struct {
	start   time.Time
	entries map[string]*entry
	// unread are the stored turns that haven't been decoded since the start, or since
	// setAllUnread.
	unread map[storedTurn]struct{}
	// lacking are the ancestors of stored turns that their shard doesn't hold, with the time
	// since the start of the index at which that was found.
	lacking map[storedTurn]time.Duration
}

// entry is what is known of one turn. It is small, since there is one for each stored turn.
type entry struct {
	// shards are the shards that hold the turn. It is empty if only descendants of the turn
	// were stored.
	shards []uint32
	// neededUntil is the latest time, since the start of the index, until which the turn
	// itself or a stored descendant needs it.
	neededUntil time.Duration
}

// storedTurn names a turn in a shard.
type storedTurn struct {
	shard uint32
	id    string
}

func newIndex(start time.Time) *index {
	return &index{
		start: start, entries: make(map[string]*entry), unread: make(map[storedTurn]struct{}), lacking: make(map[storedTurn]time.Duration),
	}
}

// entry returns the entry of the turn, and creates it if there is none.
func (i *index) entry(id string) *entry {
	found := i.entries[id]
	if found == nil {
		found = &entry{}
		i.entries[id] = found
	}
	return found
}

// add records that the shard stores the turn now and needs it and its ancestors until the
// given time. It returns the ancestors that the shard doesn't hold.
func (i *index) add(shard uint32, id string, retained *statev1.RetainedTurn, now, until time.Time) (missing []string) {
	stored := storedTurn{shard: shard, id: id}
	delete(i.unread, stored)
	delete(i.lacking, stored)
	end := until.Sub(i.start)
	added := i.entry(id)
	added.neededUntil = max(added.neededUntil, end)
	if !added.isStoredIn(shard) {
		added.shards = append(added.shards, shard)
	}
	for _, ancestor := range retained.GetAncestors() {
		needed := i.entry(ancestor)
		needed.neededUntil = max(needed.neededUntil, end)
		if !needed.isStoredIn(shard) {
			missing = append(missing, ancestor)
			i.addLacking(storedTurn{shard: shard, id: ancestor}, now)
		}
	}
	return missing
}

// addLacking records that the shard lacks the turn, unless that is known.
func (i *index) addLacking(lacked storedTurn, now time.Time) {
	if _, isKnown := i.lacking[lacked]; !isKnown {
		i.lacking[lacked] = now.Sub(i.start)
	}
}

// lackingFor returns the ancestors that are needed at the time and have been lacking for as
// long as given, by shard. It forgets those that nothing needs.
func (i *index) lackingFor(least time.Duration, now time.Time) map[uint32][]string {
	lacking := make(map[uint32][]string)
	for lacked, since := range i.lacking {
		if _, isExpired := i.overdue(lacked.id, now); isExpired || i.entries[lacked.id] == nil {
			delete(i.lacking, lacked)
			continue
		}
		if now.Sub(i.start)-since >= least {
			lacking[lacked.shard] = append(lacking[lacked.shard], lacked.id)
		}
	}
	return lacking
}

// addUnread records that the shard stores the turn, whose ancestors and retention aren't
// known yet.
func (i *index) addUnread(shard uint32, id string) {
	added := i.entry(id)
	if added.isStoredIn(shard) {
		return
	}
	added.shards = append(added.shards, shard)
	stored := storedTurn{shard: shard, id: id}
	i.unread[stored] = struct{}{}
	delete(i.lacking, stored)
}

// setAllUnread records that the ancestors and the retention of no stored turn are known.
func (i *index) setAllUnread() {
	for id, known := range i.entries {
		for _, shard := range known.shards {
			i.unread[storedTurn{shard: shard, id: id}] = struct{}{}
		}
	}
}

// unreadTurns returns the turns whose ancestors and retention aren't known.
func (i *index) unreadTurns() []storedTurn { return slices.Collect(maps.Keys(i.unread)) }

// expired returns the stored turns that aren't needed at the time, and removes the entries
// of turns that are neither needed nor stored.
func (i *index) expired(now time.Time) []storedTurn {
	var expired []storedTurn
	for id, known := range i.entries {
		if _, isExpired := i.overdue(id, now); !isExpired {
			continue
		}
		if len(known.shards) == 0 {
			delete(i.entries, id)
		}
		for _, shard := range known.shards {
			expired = append(expired, storedTurn{shard: shard, id: id})
		}
	}
	return expired
}

// overdue returns for how long the turn has not been needed, and false if it is needed. A
// turn that hasn't been decoded may need any other one.
func (i *index) overdue(id string, now time.Time) (time.Duration, bool) {
	known := i.entries[id]
	if known == nil || len(i.unread) > 0 {
		return 0, false
	}
	overdue := now.Sub(i.start) - known.neededUntil
	return overdue, overdue > 0
}

// remove records that the shard doesn't hold the turn any more.
func (i *index) remove(deleted storedTurn) {
	delete(i.unread, deleted)
	if known := i.entries[deleted.id]; known != nil {
		known.shards = slices.DeleteFunc(known.shards, func(shard uint32) bool { return shard == deleted.shard })
	}
}

// removeShard records that the shard holds no turns any more.
func (i *index) removeShard(shard uint32) {
	for id := range i.entries {
		i.remove(storedTurn{shard: shard, id: id})
	}
	maps.DeleteFunc(i.lacking, func(lacked storedTurn, _ time.Duration) bool { return lacked.shard == shard })
}

func (e *entry) isStoredIn(shard uint32) bool { return slices.Contains(e.shards, shard) }
