package node

import (
	"context"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/protocol/operator"
)

const (
	// drainTimeout bounds the request to an engine that drains.
	drainTimeout = 2 * time.Second
	// drainConcurrency bounds how many engines are asked at a time.
	drainConcurrency = 16
)

// followDrains asks the engines what they have left. An engine has drained where
// nothing is left and no record has a call dispatched to it.
func (b *operatorBackend) followDrains(ctx context.Context, draining []*operator.EngineRow) (incomplete string, err error) {
	trees, incomplete, err := b.copies(ctx, func(tree *statev1.ProgramTree) bool { return dispatchedTo(tree, "") })
	if err != nil {
		return "", err
	}
	answered := make([]bool, len(draining))
	var group errgroup.Group
	group.SetLimit(drainConcurrency)
	for index, row := range draining {
		group.Go(func() error {
			answered[index] = b.followDrain(ctx, row, trees)
			return nil
		})
	}
	_ = group.Wait()
	var silent []string
	for index, row := range draining {
		if !answered[index] {
			silent = append(silent, row.Name)
		}
	}
	if len(silent) > 0 {
		return "what is left was not told by " + strings.Join(silent, ", "), nil
	}
	return incomplete, nil
}

// followDrain brings the engine's row up to date, and tells whether the engine
// answered. The trees are this node's copies of those with a dispatched call.
func (b *operatorBackend) followDrain(ctx context.Context, row *operator.EngineRow, trees []*statev1.ProgramTree) bool {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	load, err := b.engines.Load(ctx, row.Address)
	if err != nil {
		return false
	}
	row.Running, row.Waiting, row.OutstandingTokens = load.Running, load.Waiting, load.OutstandingTokens
	row.CacheUsedTokens, row.CacheLimitTokens, row.LoadAge = load.CacheUsed, load.CacheLimit, 0
	_, admitted := b.node.limits.admission.Outstanding(enginePrefix+row.Name, b.now())
	if load.Running+load.Waiting+admitted > 0 || b.expectsCall(ctx, row.Name, trees) {
		return true
	}
	row.State = operator.StateDrained
	return true
}

// expectsCall tells whether a record has a call dispatched to the engine. A copy
// that says so may be out of date, so that the record is read from a quorum.
func (b *operatorBackend) expectsCall(ctx context.Context, engine string, trees []*statev1.ProgramTree) bool {
	for _, copied := range trees {
		if !dispatchedTo(copied, engine) {
			continue
		}
		tree, err := b.readTree(ctx, copied.GetRoot())
		if err != nil || dispatchedTo(tree, engine) {
			return true
		}
	}
	return false
}

// dispatchedTo tells whether a call of the tree is dispatched to the engine, or to
// any engine where the name is empty.
func dispatchedTo(tree *statev1.ProgramTree, engine string) bool {
	for _, member := range tree.GetPrograms() {
		for _, call := range member.GetCalls() {
			isDispatched := call.GetState() == statev1.CallState_CALL_STATE_DISPATCHED
			if isDispatched && (engine == "" || call.GetEngine() == engine) {
				return true
			}
		}
	}
	return false
}
