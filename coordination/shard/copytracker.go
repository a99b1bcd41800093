package shard

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
)

// copyTracker records since when a replica holds its shards or lacks their data, and how the
// copies progress. It is safe for concurrent use.
type copyTracker struct {
	mutex  sync.Mutex
	logger *zap.Logger
	shards map[uint32]*copyProgress
	// turns and bytes are the totals of all copies.
	turns, bytes uint64
}

func newCopyTracker() *copyTracker {
	return &copyTracker{logger: zap.NewNop(), shards: make(map[uint32]*copyProgress)}
}

// copyProgress is what the tracker knows of one shard.
type copyProgress struct {
	// heldSince and lackingSince are zero unless the replica holds the data of its view, or is
	// a member and lacks it. heldSince is also zero if the data was held at the start.
	heldSince, lackingSince time.Time
	// turns and bytes were fetched since the replica held a view's data last, or since it
	// became a member.
	turns, bytes uint64
	// listed is the number of turns in the largest listing.
	listed uint64
	// pulls counts the requests to other members that are under way.
	pulls map[CopyPhase]int
	// changedAt is when a pull began or ended last.
	changedAt time.Time
	// answers are the last answers of other members, by node.
	answers map[string]SourceAnswer
}

// phase returns what the copy is doing according to its pulls.
func (p *copyProgress) phase(isInstalling bool) CopyPhase {
	for _, phase := range []CopyPhase{CopyFetching, CopyListing, CopyFindingView} {
		if p.pulls[phase] > 0 {
			return phase
		}
	}
	if isInstalling {
		return CopyLocal
	}
	return CopyIdle
}

// progress returns the progress of the shard. The caller holds the mutex.
func (t *copyTracker) progress(shard uint32) *copyProgress {
	found := t.shards[shard]
	if found == nil {
		found = &copyProgress{pulls: make(map[CopyPhase]int), answers: make(map[string]SourceAnswer)}
		t.shards[shard] = found
	}
	return found
}

// restore records the state that was loaded from the store.
func (t *copyTracker) restore(r *Replica, shard uint32, loaded shardState) {
	if !r.lacksData(loaded) {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.progress(shard).lackingSince = time.Now()
}

// recordChange records and logs that the replica began or ceased to hold its view's data, or
// left the set.
func (t *copyTracker) recordChange(r *Replica, shard uint32, before, after shardState) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	current := t.progress(shard)
	fields := []zap.Field{zap.Uint32("shard", shard), zap.Uint64("epoch", after.View.Epoch)}
	switch {
	case r.lacksData(after):
		current.heldSince = time.Time{}
		if current.lackingSince.IsZero() {
			current.lackingSince = now
			t.logger.Info("shard copy began", append(fields, zap.Uint64("data_epoch", after.DataEpoch))...)
		}
	case r.isMember(after.View):
		if !current.lackingSince.IsZero() {
			t.logger.Info("shard copied", append(fields, zap.Uint64("turns", current.turns), zap.Uint64("bytes", current.bytes),
				zap.Duration("took", now.Sub(current.lackingSince)))...)
		}
		if !r.isMember(before.View) || r.lacksData(before) {
			*current = copyProgress{heldSince: now, pulls: current.pulls, answers: make(map[string]SourceAnswer)}
		}
	case r.isMember(before.View):
		t.logger.Info("shard left", append(fields, zap.Bool("held", before.isInstalled()))...)
		*current = copyProgress{pulls: current.pulls, answers: make(map[string]SourceAnswer)}
	}
}

// beginPull records that a request to another member begins.
func (t *copyTracker) beginPull(shard uint32, phase CopyPhase) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.progress(shard)
	current.pulls[phase]++
	current.changedAt = time.Now()
}

// recordTurn records a fetched turn.
func (t *copyTracker) recordTurn(shard uint32, bytes int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.progress(shard)
	current.turns++
	current.bytes += uint64(bytes)
	t.turns++
	t.bytes += uint64(bytes)
}

// endPull records the answer of a member, and the number of turns that it listed.
func (t *copyTracker) endPull(shard uint32, phase CopyPhase, member register.Member, listed uint64, reply archive.Reply, err error) {
	answer := SourceAnswer{Node: member.Node, Phase: phase, At: time.Now()}
	if phase == CopyFindingView && reply.View != nil {
		// A member answers a search for the view with a refusal that has it.
		reply.Refusal = register.RefusalNone
	}
	if err := replyError(reply, err); err != nil {
		answer.Error = err.Error()
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.progress(shard)
	current.pulls[phase]--
	current.changedAt = answer.At
	current.listed = max(current.listed, listed)
	current.answers[member.Node] = answer
}

// describe adds what is known of the shard's copy to the status.
func (t *copyTracker) describe(status *Status, isInstalling bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.shards[status.Shard]
	if current == nil {
		current = &copyProgress{}
	}
	status.HeldSince, status.LackingSince = current.heldSince, current.lackingSince
	status.Copy = Copy{
		Phase: current.phase(isInstalling), Since: current.changedAt,
		Turns: current.turns, Bytes: current.bytes, Listed: current.listed, Answers: maps.Clone(current.answers),
	}
}

// totals returns the turns and bytes that were fetched for all shards.
func (t *copyTracker) totals() (turns, bytes uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.turns, t.bytes
}
