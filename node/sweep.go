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
	"github.com/marblering/marblering/protocol/engineapi"
	"github.com/marblering/marblering/state/program"
)

const (
	// idleReason is why the sweep ends a program.
	idleReason = "idle limit"
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
	// roots visits the records that this node replicates.
	roots func(visit func(root string) error) error
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
	for {
		select {
		case <-ticker.C:
			s.sweepRecords(ctx)
			s.sweepEngines(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *sweep) sweepRecords(ctx context.Context) {
	var mine []string
	err := s.roots(func(root string) error {
		if s.mine(root) {
			mine = append(mine, root)
		}
		return ctx.Err()
	})
	if err != nil {
		s.logger.Warn("sweep of records", zap.Error(err))
	}
	for _, root := range mine {
		if ctx.Err() != nil {
			return
		}
		s.sweepRecord(ctx, root)
	}
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

// sweepEngines compares what engines hold with the records.
func (s *sweep) sweepEngines(ctx context.Context) {
	for _, engine := range s.fleet.Engines() {
		if s.mine(engine.Name) && ctx.Err() == nil {
			s.sweepEngine(ctx, engine.Name, engine.Address)
		}
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
