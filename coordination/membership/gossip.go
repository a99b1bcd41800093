package membership

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// Target is the destination of an exchange. Node and Incarnation are empty where
// only the address is used, as for seeds.
type Target struct {
	Node        string
	Incarnation string
	Address     string
}

// Exchange is one request for the caller of Step to send; its outcome goes to
// HandleOutcome.
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
	// listedLeaving holds the machines that were leaving in this node's last
	// reading of the machine list.
	listedLeaving map[string]bool
	// refuted holds other incarnations under this node's name that it refuted.
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

// New returns the protocol state of a node that doesn't know any other node.
// Seeds are addresses (host:port) of other nodes; this node's own address may be
// among them and is ignored.
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

// SetSeeds replaces the addresses that the node contacts to join the cluster and
// to reconnect after a network partition.
func (g *Gossip) SetSeeds(addresses []string) {
	g.seeds = g.seeds[:0]
	for _, address := range addresses {
		if address != g.self.identity.Address {
			g.seeds = append(g.seeds, address)
		}
	}
}

// Members returns the latest snapshot. It is safe for concurrent use.
func (g *Gossip) Members() *Members { return g.members.Load() }

// SetLeaving sets or clears this node's leaving mark, which is disseminated
// before other changes.
func (g *Gossip) SetLeaving(leaving bool) {
	if g.self.leaving == leaving {
		return
	}
	g.self.leaving = leaving
	g.announceSelf()
}

// SetConfigurationVersion sets the version that exchanges carry. A higher version
// is sent to all peers immediately; a lower one is ignored.
func (g *Gossip) SetConfigurationVersion(version uint64) {
	if version > g.self.configurationVersion {
		g.self.configurationVersion = version
		g.queueUrgent()
	}
}

// Depart marks this node as gone and returns the final exchanges to send. Step
// returns none afterwards.
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

// HandleOutcome processes the outcome of an exchange; response is nil if the
// exchange failed.
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

// isFromTarget reports whether the response came from the target's incarnation, or
// from any node if the target's is unknown. The first status in a response is the
// responder's own.
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

// HandleRequest processes another node's exchange and returns the response.
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

// considersGone reports whether this node has declared the sender's incarnation
// gone. After a network partition such a sender needs a full copy and knows nodes
// that this node has lost.
func (g *Gossip) considersGone(sender *peerv1.NodeStatus) bool {
	known := g.records[sender.GetNode()]
	return known != nil && known.gone() && compareStarts(sender, known.status) == 0
}

// needsFullCopy reports whether the sender needs a full copy of the table: it knows
// far fewer nodes than this one, as after a start, or the tables have differed at
// every exchange for longer than Settings.SyncDelay, too long for pending changes
// to explain the difference.
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
		// The sender knows more nodes: probe it to receive a full copy from it.
		g.requestProbe(sender.GetNode())
		return false
	}
	known.differsSince = now
	return true
}

// mergeMessage merges the contents of a message and returns the statuses that
// answer its queries. The sender is empty for a response, whose first status is
// the responder's own.
func (g *Gossip) mergeMessage(now time.Time, nodes []*peerv1.NodeStatus, engines []*peerv1.EngineEvidence, sender string) []*peerv1.NodeStatus {
	from := fromUpdate
	if len(nodes) > fullCopyStatuses {
		from = fromCopy
	}
	var answers []*peerv1.NodeStatus
	for position, status := range nodes {
		switch {
		case isDigest(status):
			continue
		case position == 0 && sender == "":
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

// publishIfStale publishes a new snapshot if the state has changed since the last.
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
