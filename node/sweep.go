package node

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/fleet"
	"github.com/marblering/marblering/coordination/record"
	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/protocol/engineapi"
	"github.com/marblering/marblering/state/program"
)

const (
	// idleReason is why the sweep ends a program.
	idleReason = "idle limit"
	// roundsOfAPass is how many rounds a pass over all records takes.
	roundsOfAPass = 5
	// sweepTimeout bounds the work on one program or engine.
	sweepTimeout = 10 * time.Second
)

// errKeepTree leaves a record as it is.
var errKeepTree = errors.New("nothing to change")

// sweep looks after what nobody asks for any more: programs past their idle
// limit, calls whose executor is gone, holds that weren't released, and memory
// that engines hold for programs that have ended. It is a suture service.
type sweep struct {
	interval time.Duration
	records  *record.Store
	executor *execution.Executor
	fleet    *fleet.Fleet
	engines  *engineapi.Client
	// replica has this node's copies of records.
	replica *shard.Replica
	// mine reports whether this node should look after the key; a hint that
	// spreads the work.
	mine   func(key string) bool
	now    func() time.Time
	logger *zap.Logger
}

// Serve sweeps until the context ends.
func (s *sweep) Serve(ctx context.Context) error {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ticker.C:
			s.sweepRecords(ctx, round)
			s.sweepNextEngine(ctx, round)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sweepRecords looks at this node's copies of a part of the records and takes
// up those that seem to need something. A pass over all of them takes
// roundsOfAPass rounds, so that an idle program costs next to nothing.
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
			s.logger.Warn("sweep of records", zap.Uint32("shard", number), zap.Error(err))
		}
	}
	for _, root := range due {
		if ctx.Err() != nil {
			return
		}
		s.sweepRecord(ctx, root)
	}
}

// seemsDue judges by this node's copy, which may be out of date.
func (s *sweep) seemsDue(root string, value []byte) bool {
	tree, err := record.Decode(root, value)
	if err != nil || tree == nil {
		return false
	}
	now := s.now().UnixMilli()
	return program.Due(tree, now)
}

// sweepRecord ends an idle tree and releases what the tree no longer needs.
func (s *sweep) sweepRecord(ctx context.Context, root string) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	tree, err := s.records.Apply(ctx, root, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		if tree == nil {
			return nil, errKeepTree
		}
		now := s.now().UnixMilli()
		if program.Idle(tree, now) {
			program.End(tree, root, idleReason, now)
		}
		return tree, nil
	})
	if err != nil {
		return
	}
	s.endLost(ctx, tree)
	s.executor.ReleaseHolds(ctx, tree)
}

// endLost ends calls whose executor is gone and whose deadline has passed, so
// that nobody waits for their callers.
func (s *sweep) endLost(ctx context.Context, tree *statev1.ProgramTree) {
	for _, candidate := range tree.GetPrograms() {
		running := program.Running(candidate)
		if running == nil || s.now().UnixMilli() <= running.GetDeadlineUnixMs() {
			continue
		}
		if s.executor.Lost(ctx, candidate.GetId(), running) {
			if err := s.executor.EndLost(ctx, candidate.GetId(), running); err != nil {
				s.logger.Warn("ending a lost call", zap.String("program", candidate.GetId()), zap.Error(err))
			}
		}
	}
}

// sweepNextEngine compares what one of the engines that this node looks after
// holds with the records; the engines take turns.
func (s *sweep) sweepNextEngine(ctx context.Context, round int) {
	var mine []routing.EngineState
	for _, engine := range s.fleet.Engines() {
		if s.mine(engine.Name) {
			mine = append(mine, engine)
		}
	}
	if len(mine) > 0 {
		engine := mine[round%len(mine)]
		s.sweepEngine(ctx, engine.Name, engine.Address)
	}
}

func (s *sweep) sweepEngine(ctx context.Context, engine, address string) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	holds, err := s.engines.Holds(ctx, address)
	if err != nil {
		s.logger.Debug("no list of holds", zap.String("engine", engine), zap.Error(err))
		return
	}
	for _, hold := range holds {
		if s.unwanted(ctx, hold.Program, engine) {
			s.release(ctx, engine, address, hold.Program)
		}
	}
}

// unwanted reads the record: the hold of a program that has ended, or that the
// record doesn't know at this engine, is to go. Only a decided read may say so.
func (s *sweep) unwanted(ctx context.Context, id, engine string) bool {
	unwanted := false
	_, err := s.records.Apply(ctx, program.RootOf(id), func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		unwanted = tree == nil || program.Ended(tree, id) || !program.Holds(tree, id, engine)
		return tree, nil
	})
	return err == nil && unwanted
}

func (s *sweep) release(ctx context.Context, engine, address, id string) {
	err := s.engines.Release(ctx, address, id)
	s.logger.Info("released a left-over hold", zap.String("engine", engine), zap.String("program", id), zap.Error(err))
}
