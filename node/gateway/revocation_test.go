package gateway

import (
	"context"
	"errors"
	"flag"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/test/bubble"
)

var revokeSequences = flag.Int("revoke-sequences", 150, "sequences of the model of revocation")

// The model: one object in a store, two storage nodes that ask it, two that follow
// through these, two gateways. Every way between them may be slow, cut, or hold what
// was sent back and deliver it late, which is also what a process that stands still
// does to its own calls; nodes are started anew. Everything but the network is the
// product's.
const (
	revokeLimit    = 5 * time.Second
	revokeDuration = 25 * time.Second
	// revokeLookPause lies between two looks at what gateways would let in: a bound is
	// broken for some tenths of a second at most.
	revokeLookPause = 20 * time.Millisecond
	revokeAskers    = 2
	revokeHolders   = 4
	revokeGateways  = 2
)

// revokeWorld is one sequence.
type revokeWorld struct {
	random *rand.Rand
	// clockFromAnswer is a deliberate fault: proofs count from when the store answered.
	clockFromAnswer bool

	mutex sync.Mutex
	// changed is when each revision of the object was acknowledged, from revision 1.
	changed []time.Time
	// troubled are the ways that are in trouble, by their ends.
	troubled map[string]trouble
	holders  map[netip.AddrPort]*mirror.Holder
}

// trouble is what happens to calls on one way.
type trouble struct {
	until time.Time
	// isCut loses calls; else they are held up on the way there and back for so long.
	isCut       bool
	there, back time.Duration
}

var errCut = errors.New("cut off")

// travel makes a call on the way take its course.
func (w *revokeWorld) travel(ctx context.Context, way string, act func() error) error {
	w.mutex.Lock()
	met := w.troubled[way]
	w.mutex.Unlock()
	if !time.Now().Before(met.until) {
		met = trouble{there: time.Millisecond, back: time.Millisecond}
	}
	if met.isCut {
		<-ctx.Done()
		return errCut
	}
	if err := sleep.For(ctx, met.there); err != nil {
		return err
	}
	if err := act(); err != nil {
		return err
	}
	return sleep.For(ctx, met.back)
}

// modelStore is the store as one node asks it. It implements follow.Source.
type modelStore struct {
	world *revokeWorld
	node  string
}

func (s modelStore) List(ctx context.Context) (follow.Snapshot, error) {
	var snapshot follow.Snapshot
	err := s.world.travel(ctx, s.node+" store", func() error {
		s.world.mutex.Lock()
		defer s.world.mutex.Unlock()
		at := int64(len(s.world.changed))
		snapshot = follow.Snapshot{At: at, Objects: []follow.Object{{Name: "main", Revision: at}}}
		return nil
	})
	return snapshot, err
}

func (modelStore) Watch(context.Context, int64, time.Duration) (follow.Changes, error) {
	return follow.Changes{}, errors.New("the model's store is only listed")
}

// fromAnswer is the deliberate fault.
type fromAnswer struct{ follow.Source }

func (f fromAnswer) List(ctx context.Context) (follow.Snapshot, error) {
	snapshot, err := f.Source.List(ctx)
	snapshot.Proved = time.Now()
	return snapshot, err
}

func (f fromAnswer) Watch(ctx context.Context, from int64, wait time.Duration) (follow.Changes, error) {
	changes, err := f.Source.Watch(ctx, from, wait)
	changes.Proved = time.Now()
	return changes, err
}

// modelNetwork is the network as one node sees it. It implements mirror.Watcher as
// peer.Client does: what a holder knows counts from when it was asked.
type modelNetwork struct {
	world *revokeWorld
	node  string
}

func (n modelNetwork) WatchMirror(ctx context.Context, address netip.AddrPort, kind string, revision int64, wait time.Duration) (mirror.Answer, error) {
	asked := time.Now()
	var said mirror.Answer
	var arrived time.Time
	err := n.world.travel(ctx, n.node+" "+address.String(), func() error {
		n.world.mutex.Lock()
		holder := n.world.holders[address]
		n.world.mutex.Unlock()
		if holder == nil {
			return errCut
		}
		arrived = time.Now()
		said = holder.Watch(ctx, kind, revision, wait)
		return nil
	})
	if err != nil {
		return nil, err
	}
	if current, is := said.(mirror.Current); is && !current.Changes.Proved.IsZero() {
		current.Changes.Proved = asked.Add(-arrived.Sub(current.Changes.Proved))
		return current, nil
	}
	return said, nil
}

func modelAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index + 1)}), 1)
}

// source is the store as a node polls it.
func (w *revokeWorld) source(node string) follow.Source {
	polled := follow.Polled(modelStore{w, node}, mirror.ProofInterval(revokeLimit), time.Now)
	if w.clockFromAnswer {
		return fromAnswer{polled}
	}
	return polled
}

func (w *revokeWorld) startHolder(ctx context.Context, t *testing.T, index int) {
	t.Helper()
	address := modelAddress(index)
	holder, err := mirror.NewHolder(mirror.Kinds(), replica.NewMemory(), time.Now, zap.NewNop())
	assert.NilError(t, err)
	upstreams := mirror.NewHolders(func() []netip.AddrPort {
		if index < revokeAskers {
			return nil
		}
		return []netip.AddrPort{modelAddress(index % revokeAskers), modelAddress((index + 1) % revokeAskers)}
	}, time.Now)
	bounds := follow.DefaultSettings()
	bounds.ListTimeout, bounds.WatchWait, bounds.WatchSlack = time.Second, mirror.ProofInterval(revokeLimit), 400*time.Millisecond
	patience := mirror.Patience{Unreached: time.Second, Lost: mirror.ProofInterval(revokeLimit)}
	follower := follow.New(follow.Options{
		Name: mirror.KindConfiguration, Settings: bounds, Logger: zap.NewNop(), Now: time.Now,
		Source: mirror.NewSource(mirror.KindConfiguration, w.source(address.String()), upstreams, modelNetwork{w, address.String()},
			mirror.SourceSettings{Wait: 300 * time.Millisecond, MaxAge: 3 * time.Second, Patience: patience}, zap.NewNop()),
		Apply: func(snapshot follow.Snapshot) { holder.Keep(mirror.KindConfiguration, snapshot) },
		Lost:  func() { holder.Lost(mirror.KindConfiguration) },
	})
	holder.Through(mirror.KindConfiguration, follower)
	w.mutex.Lock()
	w.holders[address] = holder
	w.mutex.Unlock()
	go func() { _ = follower.Serve(ctx) }()
}

// modelGateway is a gateway's follower and the revision that it applied.
type modelGateway struct {
	follower *follow.Follower
	mutex    sync.Mutex
	known    int64
}

func (w *revokeWorld) startGateway(ctx context.Context, node string) *modelGateway {
	started := &modelGateway{}
	holders := mirror.NewHolders(func() []netip.AddrPort {
		return mirror.Spread(node, []netip.AddrPort{modelAddress(0), modelAddress(1), modelAddress(2), modelAddress(3)})
	}, time.Now)
	limits := settings.Gateway{ApplyLimit: 3 * time.Second, UndisturbedTime: 4 * time.Second}
	started.follower = follow.New(follow.Options{
		Name: mirror.KindConfiguration, Settings: callSettings(limits), Logger: zap.NewNop(), Now: time.Now,
		Source: mirror.NewSource(mirror.KindConfiguration, w.source(node), holders, modelNetwork{w, node},
			provenHolderSettings(revokeLimit, holderSettings(limits)), zap.NewNop()),
		Apply: func(snapshot follow.Snapshot) {
			started.mutex.Lock()
			defer started.mutex.Unlock()
			started.known = max(started.known, snapshot.Objects[0].Revision)
		},
	})
	go func() { _ = started.follower.Serve(ctx) }()
	return started
}

// isBroken tells that the gateway would let a key in though a configuration without
// it was acknowledged longer ago than the limit; isServing that it lets keys in.
func (w *revokeWorld) isBroken(g *modelGateway) (broken, serving bool) {
	staleness, known := g.follower.Staleness()
	if !known || staleness > revokeLimit {
		return false, false
	}
	g.mutex.Lock()
	revision := g.known
	g.mutex.Unlock()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if revision >= int64(len(w.changed)) {
		return false, true
	}
	return time.Since(w.changed[revision]) > revokeLimit, true
}

// trouble brings one way into trouble, or the store for several nodes.
func (w *revokeWorld) trouble() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	span := func(most time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(most))) }
	// Mostly delays that calls bear: those that are longer only end them.
	longest := []time.Duration{300 * time.Millisecond, 490 * time.Millisecond, 4 * time.Second}[w.random.IntN(3)]
	met := trouble{until: time.Now().Add(span(8 * time.Second)), isCut: w.random.IntN(2) == 0, there: span(longest), back: span(longest)}
	nodes := []string{"edge-0", "edge-1"}
	for index := range revokeHolders {
		nodes = append(nodes, modelAddress(index).String())
	}
	if w.random.IntN(3) > 0 {
		ends := append(nodes[:len(nodes):len(nodes)], "store")
		w.troubled[nodes[w.random.IntN(len(nodes))]+" "+ends[w.random.IntN(len(ends))]] = met
		return
	}
	share := w.random.Float64()
	for _, node := range nodes {
		if w.random.Float64() < share {
			w.troubled[node+" store"] = met
		}
	}
}

// play runs one sequence. It returns how many of its looks found the bound broken, and
// how many found a gateway that serves keys.
func playRevocation(t *testing.T, seed uint64, clockFromAnswer bool) (broken, serving, looks int) {
	bubble.Test(t, func(t *testing.T) {
		w := &revokeWorld{
			random: rand.New(rand.NewPCG(seed, 1)), clockFromAnswer: clockFromAnswer,
			changed: []time.Time{time.Now()}, troubled: make(map[string]trouble), holders: make(map[netip.AddrPort]*mirror.Holder),
		}
		ctx, cancel := context.WithCancel(t.Context())
		lives := make([]context.CancelFunc, revokeHolders)
		for index := range revokeHolders {
			life, end := context.WithCancel(ctx)
			lives[index] = end
			w.startHolder(life, t, index)
		}
		gateways := make([]*modelGateway, revokeGateways)
		for index := range gateways {
			gateways[index] = w.startGateway(ctx, []string{"edge-0", "edge-1"}[index])
		}
		look := func() {
			for _, one := range gateways {
				isBroken, isServing := w.isBroken(one)
				looks++
				if isBroken {
					broken++
				}
				if isServing {
					serving++
				}
			}
		}
		for began := time.Now(); time.Since(began) < revokeDuration; {
			next := time.Now().Add(time.Duration(w.random.Int64N(int64(300 * time.Millisecond))))
			for time.Now().Before(next) {
				time.Sleep(min(revokeLookPause, time.Until(next)))
				synctest.Wait()
				look()
			}
			switch w.random.IntN(12) {
			case 0, 4:
				w.mutex.Lock()
				w.changed = append(w.changed, time.Now())
				w.mutex.Unlock()
			case 1, 2:
				w.trouble()
			case 3:
				if index := w.random.IntN(4 * revokeHolders); index < revokeHolders {
					lives[index]()
					life, end := context.WithCancel(ctx)
					lives[index] = end
					w.startHolder(life, t, index)
				}
			}
		}
		cancel()
		synctest.Wait()
	})
	return broken, serving, looks
}

// TestNoKeyOutlivesTheLimit plays random troubles: no gateway takes a key for valid
// longer after its removal than the limit, and most of the time keys are served.
func TestNoKeyOutlivesTheLimit(t *testing.T) {
	serving, looks := 0, 0
	for seed := range uint64(*revokeSequences) {
		broken, served, looked := playRevocation(t, seed, false)
		assert.Equal(t, broken, 0, "seed %d", seed)
		serving, looks = serving+served, looks+looked
	}
	t.Logf("%d sequences, keys served in %.3f of %d looks", *revokeSequences, float64(serving)/float64(looks), looks)
	assert.Assert(t, 2*serving > looks)
}

// TestModelOfRevocationFindsAClockThatCountsFromTheAnswer shows that the check can
// fail. Nodes pause for times of their own, so that sequences differ between runs: 21 of
// 4500 find the fault, and 4000 miss it once in a hundred million runs.
func TestModelOfRevocationFindsAClockThatCountsFromTheAnswer(t *testing.T) {
	const sequences = 4000
	broken := 0
	for seed := range uint64(sequences) {
		found, _, _ := playRevocation(t, seed, true)
		if broken += found; broken > 0 {
			t.Logf("found with seed %d", seed)
			break
		}
	}
	assert.Assert(t, broken > 0, "the fault isn't found in %d sequences", sequences)
}
