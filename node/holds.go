package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/fleet"
	"github.com/marblering/marblering/coordination/record"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/protocol/engineapi"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/transport/nodepeer"
)

// verifiedPerRound is how many holds are checked in one round, with one message
// each, so that the cost doesn't grow with the number of programs. With 100
// engines of 32 holds the control of a node took 32 to 34 KB/s, in place of 127 to
// 142 with a quorum read for each hold (docs/design/control-budget.md).
const verifiedPerRound = 4

// holdSweep releases holds at engines that no record knows of. A node that died
// leaves such a hold, and so does one that was paused and dispatched a call after
// its program had ended. The sweep of records releases the holds that records know
// of.
type holdSweep struct {
	records *record.Store
	fleet   *fleet.Fleet
	engines *engineapi.Client
	peers   *nodepeer.Client
	views   register.Views
	locate  func(root string) uint32
	owns    func(engine string) bool
	now     func() time.Time
	random  *rand.Rand
	logger  *zap.Logger
	// released counts the holds that were released.
	released prometheus.Counter
	// verified has the time when the hold of a program at an engine was last found
	// to be wanted, by engine and program.
	verified map[string]map[string]time.Time
}

// sweepNext looks at one of the engines that this node owns, another in each round.
func (h *holdSweep) sweepNext(ctx context.Context, round int) {
	var mine []routing.EngineState
	for _, engine := range h.fleet.Engines() {
		if h.owns(engine.Name) {
			mine = append(mine, engine)
		}
	}
	if len(mine) > 0 {
		h.sweepEngine(ctx, mine[round%len(mine)])
	}
}

func (h *holdSweep) sweepEngine(ctx context.Context, engine routing.EngineState) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	listed, err := h.engines.Holds(ctx, engine.Address)
	if err != nil {
		h.logger.Debug("holds not listed", zap.String("engine", engine.Name), zap.Error(err))
		return
	}
	for _, id := range h.longestUnverified(engine.Name, listed) {
		if h.seemsWanted(ctx, id, engine.Name) || !h.unwanted(ctx, id, engine.Name) {
			h.verified[engine.Name][id] = h.now()
			continue
		}
		h.release(ctx, engine, id)
	}
}

// longestUnverified returns the holds that weren't found to be wanted for the
// longest time, at most verifiedPerRound, and forgets holds that are gone.
func (h *holdSweep) longestUnverified(engine string, listed []engineapi.Hold) []string {
	former := h.verified[engine]
	current := make(map[string]time.Time, len(listed))
	ids := make([]string, 0, len(listed))
	for _, hold := range listed {
		ids = append(ids, hold.Program)
		if at, found := former[hold.Program]; found {
			current[hold.Program] = at
		}
	}
	h.verified[engine] = current
	slices.SortFunc(ids, func(left, right string) int { return current[left].Compare(current[right]) })
	return ids[:min(verifiedPerRound, len(ids))]
}

// seemsWanted tells whether the copy of the record at one replica, chosen at
// random, has the hold.
func (h *holdSweep) seemsWanted(ctx context.Context, id, engine string) bool {
	root := program.RootOf(id)
	view, found := h.views.View(h.locate(root))
	if !found || len(view.Members) == 0 {
		return false
	}
	member := view.Members[h.random.IntN(len(view.Members))]
	fence := register.Fence{Shard: view.Shard, Epoch: view.Epoch, Replica: member.Incarnation}
	value, refusal, err := h.peers.Peek(ctx, member, fence, root)
	if err != nil || refusal != register.RefusalNone {
		return false
	}
	tree, err := record.Decode(root, value)
	return err == nil && tree != nil && !program.Ended(tree, id) && program.Holds(tree, id, engine)
}

// unwanted tells whether the hold is to be released: the program has ended, or its
// record doesn't have the hold. It reads the record from a quorum, since a single
// copy may be out of date.
func (h *holdSweep) unwanted(ctx context.Context, id, engine string) bool {
	unwanted := false
	_, err := h.records.Apply(ctx, program.RootOf(id), func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		unwanted = tree == nil || program.Ended(tree, id) || !program.Holds(tree, id, engine)
		return tree, nil
	})
	return err == nil && unwanted
}

func (h *holdSweep) release(ctx context.Context, engine routing.EngineState, id string) {
	err := h.engines.Release(ctx, engine.Address, id)
	if err == nil {
		h.released.Inc()
	}
	h.logger.Info("left-over hold released", zap.String("engine", engine.Name), zap.String("program", id), zap.Error(err))
}
