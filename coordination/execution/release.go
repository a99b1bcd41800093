package execution

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/program"
)

const (
	// releaseTimeout bounds one try to release a hold.
	releaseTimeout = 5 * time.Second
	// releasesAtOnce bounds the holds of one tree that are released at the same time, so
	// that engines that are silent don't delay the others.
	releasesAtOnce = 8
)

// ReleaseHolds asks the engines, several at the same time, to let go of what the tree
// no longer needs and clears the holds whose release was confirmed. What fails is left
// to the next sweep.
func (e *Executor) ReleaseHolds(ctx context.Context, tree *statev1.ProgramTree) {
	var releases errgroup.Group
	releases.SetLimit(releasesAtOnce)
	for _, hold := range program.ReleasableHolds(tree) {
		releases.Go(func() error {
			e.releaseInTime(ctx, hold)
			return nil
		})
	}
	_ = releases.Wait()
}

func (e *Executor) releaseInTime(ctx context.Context, hold *statev1.Hold) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := e.releaseHold(ctx, hold); err != nil {
		e.Logger.Warn("hold not released", zap.String("program", hold.GetProgram()),
			zap.String("engine", hold.GetEngine()), zap.Error(err))
	}
}

func (e *Executor) releaseHold(ctx context.Context, hold *statev1.Hold) error {
	if err := e.Engines.Release(ctx, hold.GetEngineAddress(), hold.GetProgram()); err != nil {
		return err
	}
	_, err := e.applyExisting(ctx, hold.GetProgram(), func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		if stillReleasable(tree, hold) {
			program.ClearHold(tree, hold.GetProgram(), hold.GetEngine())
		}
		return tree, nil
	})
	return err
}

// stillReleasable guards against a call that was admitted to the engine while
// the release was under way: its new hold must not be forgotten.
func stillReleasable(tree *statev1.ProgramTree, released *statev1.Hold) bool {
	for _, hold := range program.ReleasableHolds(tree) {
		if hold.GetProgram() == released.GetProgram() && hold.GetEngine() == released.GetEngine() {
			return true
		}
	}
	return false
}

// releaseStray lets go of what an engine holds after an attempt that had been
// replaced or ended meanwhile: the record no longer knows of it.
func (e *Executor) releaseStray(ctx context.Context, tree *statev1.ProgramTree, id, address, engine string) {
	if program.Holds(tree, id, engine) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := e.Engines.Release(ctx, address, id); err != nil {
		e.Logger.Warn("stray hold not released", zap.String("program", id), zap.String("engine", engine), zap.Error(err))
	}
}
