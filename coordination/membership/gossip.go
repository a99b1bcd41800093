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
	self      *localStatus
	positions positions
	random    *rand.Rand
	seeds     []string

	records           map[string]*nodeRecord
	endedIncarnations map[string]time.Time
	evidence          map[evidenceKey]evidence
	// listedLeaving holds the machines that this node's own last reading of the
	// machine list gave as leaving.
	listedLeaving map[string]bool
	// refuted holds foreign incarnations under this node's name.
	refuted map[string]struct{}

	queue    updateQueue
	suspects map[string]*nodeRecord
	helpers  []string
	peers    []string
	inFlight map[string]time.Time

	peerCursor        int
	rejoinCursor      int
	urgent            []string
	requestedProbes   []string
	nextPeriodicProbe time.Time
	nextIndirectProbe time.Time
	nextRejoin        time.Time
	nextPrune         time.Time
	lastStep          time.Time
	firstExchange     time.Time
	settled           bool

	extraExchanges *rate.Limiter
	updateBytes    *rate.Limiter
	syncBytes      *rate.Limiter

	snapshotStale bool
	peersStale    bool
	digest        uint64
	events        []Event
	members       atomic.Pointer[Members]
}

// New begins the protocol for a node that knows nobody yet. Seeds are addresses
// (host:port) of other nodes; this node's own may be among them.
func New(settings Settings, identity Identity, seeds []string, random *rand.Rand, now time.Time) *Gossip {
	settings = settings.withDefaults()
	g := &Gossip{
		settings: settings,
		self: &localStatus{
			identity:       identity,
			startedUnixMs:  identity.Started.UnixMilli(),
			heartbeatEpoch: now,
		},
		positions:         ringPositions(identity.Node),
		random:            random,
		records:           map[string]*nodeRecord{},
		endedIncarnations: map[string]time.Time{},
		evidence:          map[evidenceKey]evidence{},
		listedLeaving:     map[string]bool{},
		refuted:           map[string]struct{}{},
		suspects:          map[string]*nodeRecord{},
		inFlight:          map[string]time.Time{},
		nextPrune:         now.Add(pruneInterval),
		extraExchanges:    rate.NewLimiter(rate.Limit(settings.ExtraExchangesPerSecond), extraExchangeBurst),
		updateBytes:       rate.NewLimiter(rate.Limit(settings.UpdateBytesPerSecond), updateByteBurst),
		syncBytes:         rate.NewLimiter(rate.Limit(settings.SyncBytesPerSecond), syncByteBurst),
		peersStale:        true,
	}
	g.SetSeeds(seeds)
	if len(g.seeds) == 0 {
		g.firstExchange = now
	}
	g.nextPeriodicProbe = now.Add(g.jitter(settings.ExchangeInterval))
	g.self.updateHeartbeat(now)
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
		g.queueUrgent()
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
	g.self.advanceHeartbeat(0)
	g.invalidate()
	g.disseminate(g.self.status(), fromNode)
	g.queueUrgent()
	g.publishIfStale()
}

// HandleOutcome takes in the outcome of an exchange; response is nil where it failed.
func (g *Gossip) HandleOutcome(now time.Time, exchange Exchange, response *peerv1.ExchangeResponse) {
	delete(g.inFlight, exchange.Target.Address)
	if response != nil {
		g.recordFirstExchange(now)
		g.mergeMessage(now, response.GetNodes(), response.GetEngines(), "")
	}
	if !isFromTarget(exchange.Target, response) {
		g.handleFailure(now, exchange)
	}
	g.publishIfStale()
}

// isFromTarget reports whether the response came from the incarnation that was
// addressed. A node's response begins with its own status.
func isFromTarget(target Target, response *peerv1.ExchangeResponse) bool {
	if response == nil || len(response.GetNodes()) == 0 {
		return false
	}
	return target.Incarnation == "" || response.GetNodes()[0].GetIncarnation() == target.Incarnation
}

func (g *Gossip) handleFailure(now time.Time, exchange Exchange) {
	known := g.records[exchange.Target.Node]
	if known == nil || known.status.GetIncarnation() != exchange.Target.Incarnation {
		return
	}
	if known.directContactAt.After(exchange.started) {
		return
	}
	g.suspect(now, known)
}

// HandleRequest handles another node's exchange.
func (g *Gossip) HandleRequest(now time.Time, request *peerv1.ExchangeRequest) *peerv1.ExchangeResponse {
	g.self.updateHeartbeat(now)
	g.recordFirstExchange(now)
	sender := request.GetSender()
	wasGone := g.considersGone(sender)
	g.merge(now, sender, fromNode)
	answers := g.mergeMessage(now, request.GetNodes(), request.GetEngines(), sender.GetNode())
	copyNeeded := wasGone || g.needsFullCopy(now, sender, request.GetNodes())
	nodes, engines := g.responseContents(now, copyNeeded, answers)
	g.publishIfStale()
	return &peerv1.ExchangeResponse{
		Nodes:                nodes,
		Engines:              engines,
		ConfigurationVersion: g.self.configurationVersion,
	}
}

// considersGone reports whether the sender's very life was taken for gone: it
// comes from the other side of a cut, whose nodes it knows and this one doesn't.
func (g *Gossip) considersGone(sender *peerv1.NodeStatus) bool {
	known := g.records[sender.GetNode()]
	return known != nil && known.gone() && compareStarts(sender, known.status) == 0
}

// needsFullCopy reports whether the asker needs a full copy: it has just begun, or
// its table has differed from this one at every exchange for so long that no
// change under way explains it.
func (g *Gossip) needsFullCopy(now time.Time, sender *peerv1.NodeStatus, nodes []*peerv1.NodeStatus) bool {
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

// mergeMessage merges what a message carries and returns the answers to its
// questions. The first whole status of a response is the responder's own; asker
// is empty for a response.
func (g *Gossip) mergeMessage(now time.Time, nodes []*peerv1.NodeStatus, engines []*peerv1.EngineEvidence, asker string) []*peerv1.NodeStatus {
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
		case isQuery(status):
			if answer := g.answerQuery(now, status); answer != nil {
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

func (g *Gossip) recordFirstExchange(now time.Time) {
	if g.firstExchange.IsZero() {
		g.firstExchange = now
	}
}

func (g *Gossip) updateSettled(now time.Time) {
	if g.settled || g.firstExchange.IsZero() {
		return
	}
	if now.Sub(g.firstExchange) >= g.settings.SettleTime {
		g.settled = true
		g.snapshotStale = true
	}
}

// publishIfStale publishes a new snapshot where something changed.
func (g *Gossip) publishIfStale() {
	if !g.snapshotStale {
		return
	}
	g.snapshotStale = false
	g.publish()
}

func (g *Gossip) jitter(interval time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(interval) + 1))
}
