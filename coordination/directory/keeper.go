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
	// lookInterval is the longest pause between two looks at the situation.
	lookInterval = 250 * time.Millisecond
	// writeTimeout bounds one write to the store.
	writeTimeout = 1500 * time.Millisecond
	// writePause follows a write, so that its effect comes back first.
	writePause = 600 * time.Millisecond
	// announcePause is how long a node takes what it announced for known, though it
	// hasn't heard of itself: when 40 start together that takes up to 3 s, and they
	// wrote 104 times what they had said.
	announcePause = 4 * time.Second
	// publishSpread is the longest that a node leaves the founding and publishing of
	// sets to others that have learned the same.
	publishSpread = 800 * time.Millisecond
)

// Keeper does one storage node's share of the directory. It is a suture service;
// followers feed it.
type Keeper struct {
	self     register.Member
	objects  Objects
	views    func() *shard.Map
	settings Settings
	now      func() time.Time
	logger   *zap.Logger

	mutex     sync.Mutex
	situation Situation
	revisions map[string]int64
	// nodesAt is the store's revision that the nodes are of.
	nodesAt int64
	changed chan struct{}
	// publishAt is when this node writes the sets, unless another does before; zero
	// while the store has the newest. Only Serve uses it.
	publishAt time.Time
	// announced is when this node last announced itself; zero for never. Only Serve uses
	// it.
	announced time.Time
	// random draws from the time given; tests set it.
	random func(time.Duration) time.Duration
}

// NewKeeper makes a keeper. Views returns the node's map, nil before the sets
// are known.
func NewKeeper(self register.Member, objects Objects, views func() *shard.Map, settings Settings, now func() time.Time, logger *zap.Logger) *Keeper {
	return &Keeper{
		self: self, objects: objects, views: views, settings: settings, now: now, logger: logger,
		situation: Situation{Self: self}, changed: make(chan struct{}, 1), random: rand.N[time.Duration],
	}
}

// String names the service in the supervisor's messages.
func (k *Keeper) String() string { return "keeper of the directory" }

// ApplyNodes takes in the announced storage nodes. An older snapshot changes nothing.
func (k *Keeper) ApplyNodes(snapshot follow.Snapshot) {
	nodes, revisions := DecodeNodes(snapshot)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.situation.NodesKnown && snapshot.At < k.nodesAt {
		return
	}
	k.situation.Nodes, k.revisions, k.nodesAt = nodes, revisions, snapshot.At
	k.situation.NodesKnown = true
	k.situation.NodesChanged = k.now()
	k.wake()
}

// ApplySets takes in the published sets.
func (k *Keeper) ApplySets(snapshot follow.Snapshot) {
	published, found, err := DecodeSets(snapshot)
	if err != nil {
		k.logger.Error("replica sets refused", zap.Int64("revision", snapshot.At), zap.Error(err))
		return
	}
	k.mutex.Lock()
	k.situation.SetsKnown = true
	k.situation.Published = nil
	if found {
		k.situation.Published = &published
	}
	k.mutex.Unlock()
	k.wake()
}

func (k *Keeper) wake() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Serve acts until the context ends.
func (k *Keeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		wrote := k.act(ctx)
		pause := k.pause()
		if wrote {
			// Nodes that saw the same don't write at the same moment.
			pause = writePause/2 + k.random(writePause)
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

// pause is how long nothing is to be done unless something changes.
func (k *Keeper) pause() time.Duration {
	if k.publishAt.IsZero() {
		return lookInterval
	}
	return min(lookInterval, max(k.publishAt.Sub(k.now()), 0))
}

// act does what the plan says and tells whether it wrote.
func (k *Keeper) act(ctx context.Context) bool {
	situation, revision := k.snapshot()
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
	case Found:
		err = k.found(ctx, situation.Nodes, sets)
	case Publish:
		err = k.write(sets, func(spec []byte) error {
			return k.objects.Replace(ctx, KindSets, SetsName, spec, situation.Published.Revision)
		})
	}
	k.logger.Info("directory written", zap.Int("action", int(action)), zap.Int("nodes", len(situation.Nodes)),
		zap.Int("views", len(sets.Views)), zap.Error(err))
	return true
}

// isDue tells whether the action is to be done now. Writing the sets waits for a
// moment that differs between nodes, since all of them learn of the same nodes and
// sets at once and one write is enough.
func (k *Keeper) isDue(action Action) bool {
	switch action {
	case None:
		k.publishAt = time.Time{}
		return false
	case Announce:
		k.publishAt = time.Time{}
		return k.announced.IsZero() || k.now().Sub(k.announced) >= announcePause
	}
	if k.publishAt.IsZero() {
		k.publishAt = k.now().Add(k.random(publishSpread))
	}
	return !k.now().Before(k.publishAt)
}

func (k *Keeper) snapshot() (Situation, int64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	situation := k.situation
	situation.Now = k.now()
	if views := k.views(); views != nil {
		situation.Views = views.Views()
	}
	return situation, k.revisions[k.self.Node]
}

// announce replaces what an earlier life of this node announced.
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
		// It may be of an earlier life, and is replaced once its revision is known.
		return nil
	}
	if err == nil {
		k.announced = k.now()
	}
	return err
}

var errNodesMissed = errors.New("the store has other storage nodes than were known")

// found creates the sets, unless the store has other storage nodes than those that they
// were planned with: these are then waited for like any news. A node that heard late of
// most others founded the sets with the few that it knew, for good.
func (k *Keeper) found(ctx context.Context, planned []register.Member, sets Sets) error {
	snapshot, err := k.objects.List(ctx, KindNodes)
	if err != nil {
		return merry.Prepend(err, "listing the storage nodes before sets are founded")
	}
	if nodes, _ := DecodeNodes(snapshot); !sameMembers(nodes, planned) {
		k.ApplyNodes(snapshot)
		return merry.Appendf(errNodesMissed, "%d in place of %d", len(nodes), len(planned))
	}
	return k.write(sets, func(spec []byte) error { return k.objects.Create(ctx, KindSets, SetsName, spec) })
}

// sameMembers compares them in whichever order they are.
func sameMembers(a, b []register.Member) bool {
	byNode := func(members []register.Member) []register.Member {
		return slices.SortedFunc(slices.Values(members), func(a, b register.Member) int {
			return strings.Compare(a.Node, b.Node)
		})
	}
	return slices.Equal(byNode(a), byNode(b))
}

func (k *Keeper) write(sets Sets, write func(spec []byte) error) error {
	spec, err := json.Marshal(sets)
	if err != nil {
		return err
	}
	return write(spec)
}
