package configuration

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

// tick is how often an idle agent looks at the live nodes again.
const tick = 250 * time.Millisecond

// AgentOptions are what an Agent is made of.
type AgentOptions struct {
	Platform Platform
	Peers    Peers
	Members  Members
	Holder   *Holder
	// Archive may be nil: the node then forgets its configuration when it ends.
	Archive Archive
	// Hold is called before an installation is acknowledged. When it returns,
	// nothing that this node grants rests on an older version than the one in
	// force, also after a restart. Nil where the node grants nothing.
	Hold   func() error
	Logger *zap.Logger
	Random *rand.Rand
	// Now is the clock; nil means time.Now.
	Now      func() time.Time
	Settings Settings
}

// Agent keeps one node's Holder at the newest version: it watches the object
// API where the node is elected to, fetches from peers where they are ahead, and
// passes on what is new. It is safe for concurrent use.
type Agent struct {
	platform Platform
	peers    Peers
	members  Members
	holder   *Holder
	archive  Archive
	hold     func() error
	logger   *zap.Logger
	now      func() time.Time
	settings Settings
	// wake makes the loop look again before its next tick.
	wake chan struct{}

	mutex   sync.Mutex
	replica replica
	planner *planner
	// coldSince is since when there has been no configuration here and none at
	// any peer; zero where there is one.
	coldSince time.Time
	stopRead  context.CancelFunc
	// readFails is set from a failure of the watch to the next answer.
	readFails bool
}

// NewAgent makes an Agent with what the archive holds.
func NewAgent(options AgentOptions) (*Agent, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Hold == nil {
		options.Hold = func() error { return nil }
	}
	settings := options.Settings.withDefaults()
	a := &Agent{
		platform: options.Platform,
		peers:    options.Peers,
		members:  options.Members,
		holder:   options.Holder,
		archive:  options.Archive,
		hold:     options.Hold,
		logger:   options.Logger,
		now:      options.Now,
		settings: settings,
		wake:     make(chan struct{}, 1),
		stopRead: func() {},
	}
	if err := a.load(); err != nil {
		return nil, err
	}
	a.planner = newPlanner(settings, options.Random, a.replica.snapshot.Version())
	return a, nil
}

// load takes in what the archive holds.
func (a *Agent) load() error {
	if a.archive == nil {
		return nil
	}
	saved, err := a.archive.Load()
	if err != nil {
		return err
	}
	_, faults := a.replica.learnUpdate(saved)
	if len(faults) > 0 {
		return faults
	}
	if a.replica.snapshot.Version() > 0 {
		a.holder.Move(a.replica.snapshot)
	}
	return nil
}

// Holder returns the holder that the agent moves.
func (a *Agent) Holder() *Holder { return a.holder }

// Serve runs until the context ends.
func (a *Agent) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		for _, next := range a.plan() {
			a.start(ctx, tasks.Go, next)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-a.wake:
		}
	}
}

// plan asks the planner what to do now.
func (a *Agent) plan() []action {
	self, live := a.members.Self(), a.members.Live()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	version := a.replica.snapshot.Version()
	a.noteCold(version, self, live)
	return a.planner.step(a.now(), version, self, live)
}

// noteCold keeps coldSince.
func (a *Agent) noteCold(version uint64, self Peer, live []Peer) {
	hasVersion := func(peer Peer) bool { return peer.Node != self.Node && peer.Version > 0 }
	if version > 0 || slices.ContainsFunc(live, hasVersion) {
		a.coldSince = time.Time{}
		return
	}
	if a.coldSince.IsZero() {
		a.coldSince = a.now()
	}
}

// mayRepair tells whether an invalid store may be made do with. The caller
// holds the mutex.
func (a *Agent) mayRepair() bool {
	if a.replica.snapshot.Version() > 0 {
		return true
	}
	return !a.coldSince.IsZero() && a.now().Sub(a.coldSince) >= a.settings.RepairAfter
}

// start carries out an action; run runs a function beside the caller.
func (a *Agent) start(ctx context.Context, run func(func()), next action) {
	switch next.kind {
	case actionRead:
		ctx, cancel := context.WithCancel(ctx)
		a.stopRead = cancel
		run(func() { a.read(ctx) })
	case actionStopRead:
		a.stopRead()
	case actionFetch:
		run(func() { a.fetch(ctx, next.peers[0]) })
	case actionRelay:
		update := a.Fetch(next.base)
		for _, peer := range next.peers {
			run(func() { a.relay(ctx, peer, update) })
		}
	}
}

// read watches the object API until that fails or the context ends.
func (a *Agent) read(ctx context.Context) {
	err := a.followStore(ctx, func() bool { return false })
	a.mutex.Lock()
	a.planner.readEnded(a.now())
	if ctx.Err() == nil {
		a.noteReadFailure(err)
	}
	a.mutex.Unlock()
	a.wakeUp()
}

// noteReadFailure logs the first failure in a row; the tries that follow say
// nothing new. The caller holds the mutex.
func (a *Agent) noteReadFailure(err error) {
	if a.readFails {
		a.logger.Debug("configuration watch still fails", zap.Error(err))
		return
	}
	a.readFails = true
	a.logger.Warn("configuration watch ended", zap.Error(err))
}

// noteReadProgress is called when the object API has answered. The caller holds
// the mutex.
func (a *Agent) noteReadProgress() {
	a.planner.readProgressed()
	if a.readFails {
		a.logger.Info("configuration watch resumed", zap.Uint64("version", a.replica.snapshot.Version()))
	}
	a.readFails = false
}

// fetch asks a peer for what is newer.
func (a *Agent) fetch(ctx context.Context, peer Peer) {
	known := a.holder.Version()
	ctx, cancel := context.WithTimeout(ctx, a.settings.PeerTimeout)
	defer cancel()
	update, err := a.peers.Fetch(ctx, peer.Member, known)
	if err == nil {
		_, err = a.learnUpdate(update)
	}
	if err != nil {
		a.logger.Warn("configuration not fetched",
			zap.String("peer", peer.Node), zap.Uint64("known_version", known), zap.Error(err))
	}
	a.mutex.Lock()
	a.planner.fetchEnded(a.now())
	a.mutex.Unlock()
	a.wakeUp()
}

// relay gives a peer what is new; one that lacks more than that fetches.
func (a *Agent) relay(ctx context.Context, peer Peer, update Update) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.PeerTimeout)
	defer cancel()
	if _, err := a.peers.Install(ctx, peer.Member, update); err != nil {
		a.logger.Debug("configuration not relayed", zap.String("peer", peer.Node), zap.Error(err))
	}
}

// Fetch answers a peer: what a node at the known version lacks.
func (a *Agent) Fetch(known uint64) Update {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.replica.update(known)
}

// Install takes in an update from a peer. Where it returns without an error and
// with the update's version or a newer one, that version is in force here and,
// with an archive, survives a restart.
func (a *Agent) Install(update Update) (InstallResult, error) {
	result, err := a.learnUpdate(update)
	if result == verdictNeedsMore {
		a.LearnVersion(update.Version)
	}
	if err != nil {
		return InstallResult{}, err
	}
	// Read before the hold, which may be of a later version already.
	installed := a.holder.Version()
	if err := a.hold(); err != nil {
		return InstallResult{}, merry.Prependf(err, "hold configuration version %d", installed)
	}
	return InstallResult{
		Version:      installed,
		Incarnation:  a.members.Self().Incarnation,
		ShardsDigest: a.members.ReplicaSets().Digest,
	}, nil
}

// LearnVersion is told that the version exists somewhere; the agent then looks
// for it at its peers.
func (a *Agent) LearnVersion(version uint64) {
	a.mutex.Lock()
	known := a.replica.snapshot.Version()
	a.planner.want(version)
	a.mutex.Unlock()
	if version > known {
		a.wakeUp()
	}
}

// Faults says what is wrong with the objects of the store that aren't in force,
// or with the store as a whole where nothing is in force yet.
func (a *Agent) Faults() Faults {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.replica.faults
}

// rejection says why that version of the object isn't in force; nil where it
// isn't rejected.
func (a *Agent) rejection(key Key, version uint64) Faults {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.replica.rejects(key, version) {
		return nil
	}
	// Not nil, even where no fault names the object.
	faults := Faults{}
	for _, fault := range a.replica.faults {
		if fault.Key == key || fault.reference == key {
			faults = append(faults, fault)
		}
	}
	return faults
}

// Reading tells whether this node watches the object API now.
func (a *Agent) Reading() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.planner.reading
}

func (a *Agent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
