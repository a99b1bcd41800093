package directory

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

const (
	// maxPlanInterval is the longest pause between two plans: the time since the nodes
	// last changed matters to them. Chosen, not measured.
	maxPlanInterval = 250 * time.Millisecond
	// writeTimeout bounds one write to the store. Chosen, not measured.
	writeTimeout = 1500 * time.Millisecond
	// meanWritePause is the mean pause after a write, so that its effect comes back through
	// the followers before the next plan. Chosen, not measured.
	meanWritePause = 600 * time.Millisecond
	// announceInterval is the time from one announcement to the next while this node isn't
	// among the listed nodes. When 40 nodes start together, a node's announcement takes
	// up to 3 s to come back to it; without the pause they wrote 104 announcements too
	// many (one simulated start).
	announceInterval = 4 * time.Second
	// maxPublishDelay is the longest random delay of founding and publishing. All nodes
	// learn of a new set at once, and the write of one is enough. Chosen, not measured.
	maxPublishDelay = 800 * time.Millisecond
)

// Keeper writes one storage node's part of the directory: it announces the node, founds
// the sets, and publishes sets that the store doesn't have. It is a suture service;
// followers call ApplyNodes and ApplySets.
type Keeper struct {
	self     register.Member
	objects  Objects
	shardMap func() *shard.Map
	settings Settings
	now      func() time.Time
	logger   *zap.Logger

	mutex     sync.Mutex
	input     PlanInput
	revisions map[string]int64
	// nodesRevision is the store's revision of the listing that the nodes come from.
	nodesRevision int64
	// changed is sent to when the situation has changed.
	changed chan struct{}
	// publishAt is when this node writes the sets unless another node does before; zero
	// while the store has the newest. Only Serve uses it.
	publishAt time.Time
	// announcedAt is when this node last announcedAt itself; zero for never. Only Serve uses
	// it.
	announcedAt time.Time
	// randomDelay draws a duration below the given one; tests replace it.
	randomDelay func(time.Duration) time.Duration
}

// NewKeeper makes a keeper for the node self. Views returns the node's map of the sets;
// nil before the sets are known.
func NewKeeper(self register.Member, objects Objects, views func() *shard.Map, settings Settings, now func() time.Time, logger *zap.Logger) *Keeper {
	return &Keeper{
		self: self, objects: objects, shardMap: views, settings: settings, now: now, logger: logger,
		input: PlanInput{Self: self}, changed: make(chan struct{}, 1), randomDelay: rand.N[time.Duration],
	}
}

// String names the service in the supervisor's messages.
func (k *Keeper) String() string { return "keeper of the directory" }

// ApplyNodes records the announced storage nodes. A snapshot older than the last one
// changes nothing.
func (k *Keeper) ApplyNodes(snapshot follow.Snapshot) {
	nodes, revisions := DecodeNodes(snapshot)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.input.NodesListed && snapshot.At < k.nodesRevision {
		return
	}
	k.input.Nodes, k.revisions, k.nodesRevision = nodes, revisions, snapshot.At
	k.input.NodesListed = true
	k.input.NodesChangedAt = k.now()
	k.notify()
}

// ApplySets records the published sets. Sets that can't be read change nothing.
func (k *Keeper) ApplySets(snapshot follow.Snapshot) {
	published, found, err := DecodeSets(snapshot)
	if err != nil {
		k.logger.Error("replica sets refused", zap.Int64("revision", snapshot.At), zap.Error(err))
		return
	}
	k.mutex.Lock()
	k.input.SetsListed = true
	k.input.Published = nil
	if found {
		k.input.Published = &published
	}
	k.mutex.Unlock()
	k.notify()
}

func (k *Keeper) notify() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Serve plans and writes until the context ends.
func (k *Keeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		wrote := k.executePlan(ctx)
		pause := k.nextDelay()
		if wrote {
			// Nodes that saw the same don't write at the same moment.
			pause = meanWritePause/2 + k.randomDelay(meanWritePause)
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-k.changed:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return ctx.Err()
}

// nextDelay is the time until the next plan unless the situation changes before.
func (k *Keeper) nextDelay() time.Duration {
	if k.publishAt.IsZero() {
		return maxPlanInterval
	}
	return min(maxPlanInterval, max(k.publishAt.Sub(k.now()), 0))
}

// executePlan carries the plan out if its action is due, and tells whether it has written.
func (k *Keeper) executePlan(ctx context.Context) bool {
	situation, revision := k.currentInput()
	action, sets := Plan(situation, k.settings)
	if !k.isDue(action) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var err error
	switch action {
	case Announce:
		err = k.announce(ctx, revision)
	case Bootstrap:
		err = k.bootstrap(ctx, situation.Nodes, sets)
	case Publish:
		err = k.encodeAndWrite(sets, func(spec []byte) error {
			return k.objects.Replace(ctx, KindSets, SetsName, spec, situation.Published.Revision)
		})
	}
	k.logger.Info("directory written", zap.Int("action", int(action)), zap.Int("nodes", len(situation.Nodes)),
		zap.Int("views", len(sets.Views)), zap.Error(err))
	return true
}

// isDue tells whether the action is to be carried out now. Founding and publishing wait
// for a random delay, during which another node may do it.
func (k *Keeper) isDue(action Action) bool {
	switch action {
	case None:
		k.publishAt = time.Time{}
		return false
	case Announce:
		k.publishAt = time.Time{}
		return k.announcedAt.IsZero() || k.now().Sub(k.announcedAt) >= announceInterval
	}
	if k.publishAt.IsZero() {
		k.publishAt = k.now().Add(k.randomDelay(maxPublishDelay))
	}
	return !k.now().Before(k.publishAt)
}

// currentInput returns the situation as it is now, and the revision of this node's object;
// zero without one.
func (k *Keeper) currentInput() (PlanInput, int64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	situation := k.input
	situation.Now = k.now()
	if views := k.shardMap(); views != nil {
		situation.Views = views.Views()
	}
	return situation, k.revisions[k.self.Node]
}

// announce writes this node's object. It replaces the one of an earlier process of this
// node.
func (k *Keeper) announce(ctx context.Context, revision int64) error {
	spec, err := json.Marshal(Node{Member: k.self})
	if err != nil {
		return err
	}
	if revision != 0 {
		return k.objects.Replace(ctx, KindNodes, k.self.Node, spec, revision)
	}
	err = k.objects.Create(ctx, KindNodes, k.self.Node, spec)
	if errors.Is(err, ErrExists) {
		// An earlier process wrote it. It is replaced once its revision is known.
		return nil
	}
	if err == nil {
		k.announcedAt = k.now()
	}
	return err
}

// errOutdatedNodes means that sets were planned with nodes other than the store's.
var errOutdatedNodes = errors.New("the store has other storage nodes than were known")

// bootstrap creates the sets unless the store has other storage nodes than the planned ones:
// these are then taken as a change of the situation. A node that learns late of most
// others would otherwise bootstrap the sets for good with the few that it knows.
func (k *Keeper) bootstrap(ctx context.Context, planned []register.Member, sets Sets) error {
	snapshot, err := k.objects.List(ctx, KindNodes)
	if err != nil {
		return merry.Prepend(err, "listing the storage nodes before sets are founded")
	}
	if nodes, _ := DecodeNodes(snapshot); !sameMembers(nodes, planned) {
		k.ApplyNodes(snapshot)
		return merry.Appendf(errOutdatedNodes, "%d in place of %d", len(nodes), len(planned))
	}
	return k.encodeAndWrite(sets, func(spec []byte) error { return k.objects.Create(ctx, KindSets, SetsName, spec) })
}

// sameMembers tells whether both lists have the same members in any order.
func sameMembers(a, b []register.Member) bool {
	byNode := func(members []register.Member) []register.Member {
		return slices.SortedFunc(slices.Values(members), func(a, b register.Member) int {
			return strings.Compare(a.Node, b.Node)
		})
	}
	return slices.Equal(byNode(a), byNode(b))
}

// encodeAndWrite encodes the sets and passes them on.
func (k *Keeper) encodeAndWrite(sets Sets, write func(spec []byte) error) error {
	spec, err := json.Marshal(sets)
	if err != nil {
		return err
	}
	return write(spec)
}
