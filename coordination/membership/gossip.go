package membership

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// Target is where an exchange goes. Node and Incarnation are empty for a seed,
// of which only the address is known.
type Target struct {
	Node        string
	Incarnation string
	Address     string
}

// Exchange is one request that the caller of Step has to send; its outcome
// goes to Finish.
type Exchange struct {
	Target  Target
	Request *peerv1.ExchangeRequest
	started time.Time
}

// Gossip is the membership protocol of one node. It performs no I/O and isn't
// safe for concurrent use, except for Members.
type Gossip struct {
	settings  Settings
	self      *self
	positions positions
	random    *rand.Rand
	seeds     []string

	records  map[string]*record
	buried   map[string]time.Time
	evidence map[evidenceKey]evidence
	// sawLeaving holds the machines that this node's own last reading of the
	// machine list gave as leaving.
	sawLeaving map[string]bool
	// refuted holds foreign incarnations under this node's name.
	refuted map[string]struct{}

	queue    updateQueue
	suspects map[string]*record
	helpers  []string
	peers    []string
	inFlight map[string]time.Time

	peerCursor    int
	contactCursor int
	urgent        []string
	wantedProbes  []string
	nextRegular   time.Time
	nextAsk       time.Time
	nextContact   time.Time
	nextPrune     time.Time
	lastStep      time.Time
	firstContact  time.Time
	settled       bool

	extraExchanges *rate.Limiter
	updateBytes    *rate.Limiter
	syncBytes      *rate.Limiter

	stale      bool
	peersStale bool
	digest     uint64
	events     []Event
	members    atomic.Pointer[Members]
}

// New begins the protocol for a node that knows nobody yet. Seeds are addresses
// (host:port) of other nodes; this node's own may be among them.
func New(settings Settings, identity Identity, seeds []string, random *rand.Rand, now time.Time) *Gossip {
	settings = settings.withDefaults()
	g := &Gossip{
		settings: settings,
		self: &self{
			identity:      identity,
			startedUnixMs: identity.Started.UnixMilli(),
			firstBeat:     now,
		},
		positions:      ringPositions(identity.Node),
		random:         random,
		records:        map[string]*record{},
		buried:         map[string]time.Time{},
		evidence:       map[evidenceKey]evidence{},
		sawLeaving:     map[string]bool{},
		refuted:        map[string]struct{}{},
		suspects:       map[string]*record{},
		inFlight:       map[string]time.Time{},
		nextPrune:      now.Add(pruneInterval),
		extraExchanges: rate.NewLimiter(rate.Limit(settings.ExtraExchangesPerSecond), extraExchangeBurst),
		updateBytes:    rate.NewLimiter(rate.Limit(settings.UpdateBytesPerSecond), updateByteBurst),
		syncBytes:      rate.NewLimiter(rate.Limit(settings.SyncBytesPerSecond), syncByteBurst),
		peersStale:     true,
	}
	g.SetSeeds(seeds)
	if len(g.seeds) == 0 {
		g.firstContact = now
	}
	g.nextRegular = now.Add(g.jitter(settings.ExchangeInterval))
	g.self.beat(now)
	g.publish()
	return g
}

// SetSeeds replaces the addresses that are tried while nobody is known, and
// now and then afterwards.
func (g *Gossip) SetSeeds(addresses []string) {
	g.seeds = g.seeds[:0]
	for _, address := range addresses {
		if address != g.self.identity.Address {
			g.seeds = append(g.seeds, address)
		}
	}
}

// Members returns the newest snapshot; it may be called from any goroutine.
func (g *Gossip) Members() *Members { return g.members.Load() }

// SetLeaving says whether this node is leaving. The mark travels ahead of all
// else.
func (g *Gossip) SetLeaving(leaving bool) {
	if g.self.leaving == leaving {
		return
	}
	g.self.leaving = leaving
	g.announceSelf()
}

// SetConfigurationVersion sets the version that exchanges carry and asks for
// a round at once where it grew.
func (g *Gossip) SetConfigurationVersion(version uint64) {
	if version > g.self.configurationVersion {
		g.self.configurationVersion = version
		g.hurry()
	}
}

// Depart says that this node is gone for good. It returns the last exchanges
// to send; Step returns none afterwards.
func (g *Gossip) Depart(now time.Time) []Exchange {
	g.self.gone = true
	g.announceSelf()
	g.refreshPeers()
	var exchanges []Exchange
	for _, name := range g.peers {
		exchanges = append(exchanges, g.compose(now, g.records[name].target()))
	}
	return exchanges
}

func (g *Gossip) announceSelf() {
	g.self.advance(0)
	g.changed()
	g.spread(g.self.status(), fromNode)
	g.hurry()
	g.finish()
}

// Finish takes in the outcome of an exchange; response is nil where it failed.
func (g *Gossip) Finish(now time.Time, exchange Exchange, response *peerv1.ExchangeResponse) {
	delete(g.inFlight, exchange.Target.Address)
	if response != nil {
		g.noteContact(now)
		g.absorb(now, response.GetNodes(), response.GetEngines(), "")
	}
	if !answers(exchange.Target, response) {
		g.noteFailure(now, exchange)
	}
	g.finish()
}

// answers reports whether the response came from the incarnation that was
// addressed. A node's response begins with its own status.
func answers(target Target, response *peerv1.ExchangeResponse) bool {
	if response == nil || len(response.GetNodes()) == 0 {
		return false
	}
	return target.Incarnation == "" || response.GetNodes()[0].GetIncarnation() == target.Incarnation
}

func (g *Gossip) noteFailure(now time.Time, exchange Exchange) {
	known := g.records[exchange.Target.Node]
	if known == nil || known.status.GetIncarnation() != exchange.Target.Incarnation {
		return
	}
	if known.direct.After(exchange.started) {
		return
	}
	g.suspect(now, known)
}

// Answer handles another node's exchange.
func (g *Gossip) Answer(now time.Time, request *peerv1.ExchangeRequest) *peerv1.ExchangeResponse {
	g.self.beat(now)
	g.noteContact(now)
	sender := request.GetSender()
	wasGone := g.believesGone(sender)
	g.merge(now, sender, fromNode)
	answers := g.absorb(now, request.GetNodes(), request.GetEngines(), sender.GetNode())
	copyNeeded := wasGone || g.lacksMuch(now, sender, request.GetNodes())
	nodes, engines := g.appendix(now, copyNeeded, answers)
	g.finish()
	return &peerv1.ExchangeResponse{
		Nodes:                nodes,
		Engines:              engines,
		ConfigurationVersion: g.self.configurationVersion,
	}
}

// believesGone reports whether the sender's very life was taken for gone: it
// comes from the other side of a cut, whose nodes it knows and this one doesn't.
func (g *Gossip) believesGone(sender *peerv1.NodeStatus) bool {
	known := g.records[sender.GetNode()]
	return known != nil && known.gone() && compareLives(sender, known.status) == 0
}

// lacksMuch reports whether the asker needs a full copy: it has just begun, or
// its table has differed from this one at every exchange for so long that no
// change under way explains it.
func (g *Gossip) lacksMuch(now time.Time, sender *peerv1.NodeStatus, nodes []*peerv1.NodeStatus) bool {
	known := g.records[sender.GetNode()]
	if known == nil || len(nodes) == 0 || !isDigest(nodes[0]) {
		return false
	}
	if nodes[0].GetHeartbeat() == g.tableDigest() {
		known.differsSince = time.Time{}
		return false
	}
	if known.differsSince.IsZero() {
		known.differsSince = now
	}
	theirs := int(nodes[0].GetStartedUnixMs())
	ours := len(g.records) + 1
	if theirs < ours-ours/8-1 {
		return true
	}
	if now.Sub(known.differsSince) < g.settings.SyncDelay {
		return false
	}
	if theirs > ours {
		// The asker knows more: have it answer an exchange of this node.
		g.requestProbe(sender.GetNode())
		return false
	}
	known.differsSince = now
	return true
}

// absorb merges what a message carries and returns the answers to its
// questions. The first whole status of a response is the responder's own; asker
// is empty for a response.
func (g *Gossip) absorb(now time.Time, nodes []*peerv1.NodeStatus, engines []*peerv1.EngineEvidence, asker string) []*peerv1.NodeStatus {
	from := fromUpdate
	if len(nodes) > fullCopyStatuses {
		from = fromCopy
	}
	var answers []*peerv1.NodeStatus
	for position, status := range nodes {
		switch {
		case isDigest(status):
			continue
		case position == 0 && asker == "":
			g.merge(now, status, fromNode)
		case isQuestion(status):
			if answer := g.answerQuestion(now, status); answer != nil {
				answers = append(answers, answer)
			}
		default:
			g.merge(now, status, from)
		}
	}
	for _, fact := range engines {
		g.mergeEvidence(now, fact)
	}
	return answers
}

func (g *Gossip) noteContact(now time.Time) {
	if g.firstContact.IsZero() {
		g.firstContact = now
	}
}

func (g *Gossip) settle(now time.Time) {
	if g.settled || g.firstContact.IsZero() {
		return
	}
	if now.Sub(g.firstContact) >= g.settings.SettleTime {
		g.settled = true
		g.stale = true
	}
}

// finish publishes a new snapshot where something changed.
func (g *Gossip) finish() {
	if !g.stale {
		return
	}
	g.stale = false
	g.publish()
}

func (g *Gossip) jitter(interval time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(interval) + 1))
}
