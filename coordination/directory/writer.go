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
	// maxPlanInterval limits the pause between two plans, since a plan depends on the time
	// since the last change of the nodes.
	maxPlanInterval = 250 * time.Millisecond
	writeTimeout    = 1500 * time.Millisecond
	// meanWritePause is the mean pause after a write. It leaves time for the written
	// object to be read back through the followers before the next plan.
	meanWritePause = 600 * time.Millisecond
	// announceInterval is the minimum time between announcements while this node isn't
	// listed. It exceeds the time that an announcement takes to be read back when many
	// nodes start together: up to 3 s for 40 nodes, which wrote 104 superfluous
	// announcements without it.
	announceInterval = 4 * time.Second
	// maxPublishDelay limits the random delay before sets are created or published. All
	// nodes learn of a new set at the same time, and one of them has to write it.
	maxPublishDelay = 800 * time.Millisecond
)

// Writer writes one storage node's part of the directory: it announces the node, creates
// the initial sets, and publishes newer sets than the store has. It implements
// suture.Service; followers call ApplyNodes and ApplySets.
type Writer struct {
	self     register.Member
	objects  Objects
	shardMap func() *shard.Map
	settings Settings
	now      func() time.Time
	logger   *zap.Logger

	mutex     sync.Mutex
	input     PlanInput
	revisions map[string]int64
	// nodesRevision is the revision of the snapshot that input.Nodes comes from.
	nodesRevision int64
	// changed receives a value when the input of the plan has changed.
	changed chan struct{}
	// publishAt is when this node writes the sets unless another node does so first; zero
	// while there is nothing to write. Only Serve uses it.
	publishAt time.Time
	// announcedAt is when this node last announced itself; zero for never. Only Serve
	// uses it.
	announcedAt time.Time
	// randomDelay returns a random duration below the given one; tests replace it.
	randomDelay func(time.Duration) time.Duration
}

// NewWriter returns a writer for the node self. Function shardMap returns the node's map
// of the sets; nil before the sets are known.
func NewWriter(self register.Member, objects Objects, shardMap func() *shard.Map, settings Settings, now func() time.Time, logger *zap.Logger) *Writer {
	return &Writer{
		self: self, objects: objects, shardMap: shardMap, settings: settings, now: now, logger: logger,
		input: PlanInput{Self: self}, changed: make(chan struct{}, 1), randomDelay: rand.N[time.Duration],
	}
}

// String returns the service name for the supervisor's log messages.
func (w *Writer) String() string { return "directory writer" }

// ApplyNodes records the announced storage nodes. A snapshot older than the last one is
// ignored.
func (w *Writer) ApplyNodes(snapshot follow.Snapshot) {
	nodes, revisions := DecodeNodes(snapshot)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.input.NodesListed && snapshot.At < w.nodesRevision {
		return
	}
	w.input.Nodes, w.revisions, w.nodesRevision = nodes, revisions, snapshot.At
	w.input.NodesListed = true
	w.input.NodesChangedAt = w.now()
	w.notify()
}

// ApplySets records the published sets. Invalid sets are logged and ignored.
func (w *Writer) ApplySets(snapshot follow.Snapshot) {
	published, found, err := DecodeSets(snapshot)
	if err != nil {
		w.logger.Error("invalid replica sets ignored", zap.Int64("revision", snapshot.At), zap.Error(err))
		return
	}
	w.mutex.Lock()
	w.input.SetsListed = true
	w.input.Published = nil
	if found {
		w.input.Published = &published
	}
	w.mutex.Unlock()
	w.notify()
}

func (w *Writer) notify() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// Serve plans and writes until the context ends.
func (w *Writer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		wrote := w.executePlan(ctx)
		pause := w.nextDelay()
		if wrote {
			// Jitter keeps nodes with the same input from writing at the same time.
			pause = meanWritePause/2 + w.randomDelay(meanWritePause)
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-w.changed:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return ctx.Err()
}

// nextDelay returns the time until the next plan unless the input changes earlier.
func (w *Writer) nextDelay() time.Duration {
	if w.publishAt.IsZero() {
		return maxPlanInterval
	}
	return min(maxPlanInterval, max(w.publishAt.Sub(w.now()), 0))
}

// executePlan plans, executes the action if it is due, and reports whether it tried to
// write.
func (w *Writer) executePlan(ctx context.Context) bool {
	input, revision := w.currentInput()
	action, sets := Plan(input, w.settings)
	if !w.isDue(action) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var err error
	switch action {
	case Announce:
		err = w.announce(ctx, revision)
	case Bootstrap:
		err = w.bootstrap(ctx, input.Nodes, sets)
	case Publish:
		err = w.encodeAndWrite(sets, func(spec []byte) error {
			return w.objects.Replace(ctx, KindSets, SetsName, spec, input.Published.Revision)
		})
	}
	w.logger.Info("directory write finished", zap.Int("action", int(action)), zap.Int("nodes", len(input.Nodes)),
		zap.Int("views", len(sets.Views)), zap.Error(err))
	return true
}

// isDue reports whether the action is to be executed now. Bootstrap and Publish wait for
// a random delay, in which another node may write the sets.
func (w *Writer) isDue(action Action) bool {
	switch action {
	case None:
		w.publishAt = time.Time{}
		return false
	case Announce:
		w.publishAt = time.Time{}
		return w.announcedAt.IsZero() || w.now().Sub(w.announcedAt) >= announceInterval
	}
	if w.publishAt.IsZero() {
		w.publishAt = w.now().Add(w.randomDelay(maxPublishDelay))
	}
	return !w.now().Before(w.publishAt)
}

// currentInput returns the input for a plan, and the revision of this node's object; zero
// if there is none.
func (w *Writer) currentInput() (PlanInput, int64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	input := w.input
	input.Now = w.now()
	if views := w.shardMap(); views != nil {
		input.Views = views.Views()
	}
	return input, w.revisions[w.self.Node]
}

// announce creates this node's object, or replaces the one of an earlier process of this
// node.
func (w *Writer) announce(ctx context.Context, revision int64) error {
	spec, err := json.Marshal(Node{Member: w.self})
	if err != nil {
		return err
	}
	if revision != 0 {
		return w.objects.Replace(ctx, KindNodes, w.self.Node, spec, revision)
	}
	err = w.objects.Create(ctx, KindNodes, w.self.Node, spec)
	if errors.Is(err, ErrExists) {
		// Written by an earlier process; replaced once its revision is known.
		return nil
	}
	if err == nil {
		w.announcedAt = w.now()
	}
	return err
}

// errOutdatedNodes means that the storage nodes in the store differ from those of the plan.
var errOutdatedNodes = errors.New("replica sets were planned with outdated storage nodes")

// bootstrap creates the sets, unless the storage nodes in the store differ from the planned
// ones, which are then updated. Otherwise a node with an outdated listing could assign all
// sets to a few nodes for good.
func (w *Writer) bootstrap(ctx context.Context, planned []register.Member, sets Sets) error {
	snapshot, err := w.objects.List(ctx, KindNodes)
	if err != nil {
		return merry.Prepend(err, "list storage nodes before creating replica sets")
	}
	if nodes, _ := DecodeNodes(snapshot); !sameMembers(nodes, planned) {
		w.ApplyNodes(snapshot)
		return merry.Appendf(errOutdatedNodes, "the store has %d, the plan %d", len(nodes), len(planned))
	}
	return w.encodeAndWrite(sets, func(spec []byte) error { return w.objects.Create(ctx, KindSets, SetsName, spec) })
}

// sameMembers reports whether both lists have the same members in any order.
func sameMembers(a, b []register.Member) bool {
	byNode := func(members []register.Member) []register.Member {
		return slices.SortedFunc(slices.Values(members), func(a, b register.Member) int {
			return strings.Compare(a.Node, b.Node)
		})
	}
	return slices.Equal(byNode(a), byNode(b))
}

// encodeAndWrite encodes the sets and passes them to the given function.
func (w *Writer) encodeAndWrite(sets Sets, write func(spec []byte) error) error {
	spec, err := json.Marshal(sets)
	if err != nil {
		return err
	}
	return write(spec)
}
