package shard

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
)

// ReplicaState tells whether a replica holds the data of a shard.
type ReplicaState string

// States of a shard at a replica.
const (
	// ReplicaWhole: the replica is a member and holds the data of the newest decided view.
	ReplicaWhole ReplicaState = "whole"
	// ReplicaCopying: it is a member, lacks that data, and an installation is running.
	ReplicaCopying ReplicaState = "copying"
	// ReplicaMissing: it is a member, lacks that data, and no installation is running.
	ReplicaMissing ReplicaState = "missing"
	// ReplicaOther: it isn't a member, as far as it knows.
	ReplicaOther ReplicaState = "other"
)

// CopyPhase is what the copy of a shard is doing.
type CopyPhase string

// Phases of a copy.
const (
	// CopyIdle: no installation is running. A driver or this node's next round begins one.
	CopyIdle CopyPhase = "idle"
	// CopyFindingView: others are asked for the view from which to copy.
	CopyFindingView CopyPhase = "finding_view"
	// CopyListing: others list their turns.
	CopyListing CopyPhase = "listing"
	// CopyFetching: others send turns.
	CopyFetching CopyPhase = "fetching"
	// CopyLocal: an installation is running and asks no other member. It waits for the precopy
	// of another shard, or reads or writes this node's disk.
	CopyLocal CopyPhase = "local"
)

// Status describes a shard as one replica knows it.
type Status struct {
	Shard uint32
	// View is the newest open view, with epoch zero if none is known. The replica's own state
	// refers to the newest decided view, of DecidedEpoch.
	View         register.View
	DecidedEpoch uint64
	// DataEpoch is the newest epoch whose data the replica holds, or zero for none.
	DataEpoch uint64
	State     ReplicaState
	// HeldSince is when the replica became whole; zero if it isn't, or was when it started.
	HeldSince time.Time
	// LackingSince is when the replica began to lack data; zero if it doesn't.
	LackingSince time.Time
	Copy         Copy
	// Error is set if the state of the shard can't be read.
	Error string
}

// Copy describes the copy of a shard to this replica.
type Copy struct {
	Phase CopyPhase
	// Since is when a request to another member began or ended last; zero for never.
	Since time.Time
	// Turns and Bytes were fetched since the replica was whole last. Listed is the number of
	// turns that one member listed; this replica may hold some of them already.
	Turns, Bytes, Listed uint64
	// Answers are the last answers of other members since then, by node.
	Answers map[string]SourceAnswer
}

// SourceAnswer is the answer of another member to a request of a copy.
type SourceAnswer struct {
	Node  string
	Phase CopyPhase
	At    time.Time
	// Error is the error or refusal, empty for none.
	Error string
}

// LogCopies has the replica log changes of the shards that it holds. It must be called
// before the replica is used.
func (r *Replica) LogCopies(logger *zap.Logger) { r.copies.logger = logger }

// CopiedTotal returns the turns and bytes that this replica has fetched from others.
func (r *Replica) CopiedTotal() (turns, bytes uint64) { return r.copies.totals() }

// Statuses describes all shards in their order.
func (r *Replica) Statuses() []Status {
	statuses := make([]Status, 0, r.views.Count())
	for shard := range r.views.Count() {
		statuses = append(statuses, r.status(shard))
	}
	return statuses
}

func (r *Replica) status(shard uint32) Status {
	status := Status{Shard: shard, State: ReplicaOther}
	local, err := r.acquire(shard)
	if err != nil {
		status.Error = err.Error()
		return status
	}
	current := local.state
	local.mutex.RUnlock()
	status.View, _ = r.views.View(shard)
	status.DecidedEpoch, status.DataEpoch = current.View.Epoch, current.DataEpoch
	isInstalling := len(local.installSlot) > 0
	status.State = r.replicaState(current, isInstalling)
	r.copies.describe(&status, isInstalling)
	return status
}

func (r *Replica) replicaState(current shardState, isInstalling bool) ReplicaState {
	switch {
	case !r.isMember(current.View):
		return ReplicaOther
	case current.isInstalled():
		return ReplicaWhole
	case isInstalling:
		return ReplicaCopying
	}
	return ReplicaMissing
}

// lacksData reports whether the replica is a member of its view without the view's data.
func (r *Replica) lacksData(current shardState) bool {
	return r.isMember(current.View) && !current.isInstalled()
}

// ObserveSource returns the source with the copies of this replica recorded for Statuses.
func (r *Replica) ObserveSource(source Source) Source {
	return observedSource{source: source, copies: r.copies}
}

// observedSource records requests to the source.
type observedSource struct {
	source Source
	copies *copyTracker
}

// Pull forwards the request. It doesn't record probes, which aren't part of a copy.
func (s observedSource) Pull(ctx context.Context, member register.Member, request PullRequest, visit func(PullItem) error) (archive.Reply, error) {
	phase := phaseOf(request)
	if phase == CopyIdle {
		return s.source.Pull(ctx, member, request, visit)
	}
	shard := request.Fence.Shard
	s.copies.beginPull(shard, phase)
	var listed uint64
	reply, err := s.source.Pull(ctx, member, request, func(item PullItem) error {
		switch {
		case item.Turn == nil:
		case phase == CopyListing:
			listed++
		case phase == CopyFetching:
			s.copies.recordTurn(shard, len(item.Turn.Object))
		}
		return visit(item)
	})
	s.copies.endPull(shard, phase, member, listed, reply, err)
	return reply, err
}

// phaseOf returns the phase of a copy that the request belongs to, or CopyIdle for a probe.
func phaseOf(request PullRequest) CopyPhase {
	switch {
	case request.Fence.Epoch == unknownEpoch:
		return CopyFindingView
	case request.OmitObjects:
		return CopyListing
	case len(request.Wanted) > 0 && request.Wanted[0].Program == probeProgram:
		return CopyIdle
	}
	return CopyFetching
}
