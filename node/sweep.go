package node

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/record"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/program"
)

const (
	// idleReason is the end reason of a program that the sweep ends.
	idleReason = "idle limit"
	// sweepInterval is the pause between two rounds.
	sweepInterval = 2 * time.Second
	// roundsOfAPass is how many rounds a pass over all records takes.
	roundsOfAPass = 5
	// sweepTimeout bounds the work on one program or engine.
	sweepTimeout = 10 * time.Second
)

// errKeepTree leaves a record as it is.
var errKeepTree = errors.New("nothing to change")

// sweep ends programs past their idle limit and calls whose executor is gone, and
// releases holds that nobody released. It is a suture service.
type sweep struct {
	interval time.Duration
	records  *record.Store
	executor *execution.Executor
	holds    *holdSweep
	// replica has this node's copies of records.
	replica *shard.Replica
	// mine tells whether this node should look after the key. It spreads the work
	// and guards nothing.
	mine func(key string) bool
	now  func() time.Time
	// defaults are the limits of programs that name none.
	defaults    func() configuration.Limits
	logger      *zap.Logger
	instruments *instruments
}

// Serve sweeps until the context ends.
func (s *sweep) Serve(ctx context.Context) error {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ticker.C:
			s.sweepRecords(ctx, round)
			s.holds.sweepNext(ctx, round)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sweepRecords looks at this node's copies of the records of some shards, and reads
// those from a quorum that seem due. A pass over all shards takes roundsOfAPass
// rounds. An idle program costs one look at a copy in each pass.
func (s *sweep) sweepRecords(ctx context.Context, round int) {
	var due []string
	for number := range s.replica.Shards() {
		if int(number)%roundsOfAPass != round%roundsOfAPass {
			continue
		}
		err := s.replica.EachRecord(number, func(root string, value []byte) error {
			if s.mine(root) && s.seemsDue(root, value) {
				due = append(due, root)
			}
			return ctx.Err()
		})
		if err != nil {
			s.logger.Warn("records not swept", zap.Uint32("shard", number), zap.Error(err))
		}
	}
	for _, root := range due {
		if ctx.Err() != nil {
			return
		}
		s.sweepRecord(ctx, root)
	}
}

// seemsDue tells whether the record needs the sweep, by this node's copy, which may
// be out of date.
func (s *sweep) seemsDue(root string, value []byte) bool {
	tree, err := record.Decode(root, value)
	if err != nil || tree == nil {
		return false
	}
	s.setIdleLimit(tree)
	return program.Due(tree, s.now().UnixMilli())
}

// setIdleLimit gives a tree that names no idle limit the default in force.
func (s *sweep) setIdleLimit(tree *statev1.ProgramTree) {
	if tree.GetIdleLimitMs() == 0 {
		tree.IdleLimitMs = s.defaults().DefaultIdleLimit.Std().Milliseconds()
	}
}

// idle tells whether the tree is past its idle limit. It leaves the tree unchanged,
// so that the default limit isn't stored with it.
func (s *sweep) idle(tree *statev1.ProgramTree, nowUnixMS int64) bool {
	own := tree.GetIdleLimitMs()
	defer func() { tree.IdleLimitMs = own }()
	s.setIdleLimit(tree)
	return program.Idle(tree, nowUnixMS)
}

// sweepRecord ends an idle tree and releases what the tree no longer needs.
func (s *sweep) sweepRecord(ctx context.Context, root string) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	s.instruments.sweptRecords.Inc()
	ended := false
	tree, err := s.records.Apply(ctx, root, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		if tree == nil {
			return nil, errKeepTree
		}
		now := s.now().UnixMilli()
		ended = s.idle(tree, now) && program.End(tree, root, idleReason, now)
		return tree, nil
	})
	if err != nil {
		return
	}
	if ended {
		s.instruments.endedPrograms.Inc()
	}
	s.endLost(ctx, tree)
	s.executor.ReleaseHolds(ctx, tree)
}

// endLost ends calls whose executor is gone and whose deadline has passed. Nothing
// else would end them where their callers don't ask again.
func (s *sweep) endLost(ctx context.Context, tree *statev1.ProgramTree) {
	for _, candidate := range tree.GetPrograms() {
		running := program.Running(candidate)
		if running == nil || s.now().UnixMilli() <= running.GetDeadlineUnixMs() {
			continue
		}
		if s.executor.Lost(ctx, candidate.GetId(), running) {
			if err := s.executor.EndLost(ctx, candidate.GetId(), running); err != nil {
				s.logger.Warn("lost call not ended", zap.String("program", candidate.GetId()), zap.Error(err))
				continue
			}
			s.instruments.endedCalls.Inc()
		}
	}
}
