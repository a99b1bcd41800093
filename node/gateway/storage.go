package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/directory"
	"github.com/marblering/marblering/coordination/quarantine"
	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/streamorigin"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/coordination/turnstore"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/telemetry"
	"github.com/marblering/marblering/transport/peer"
)

const (
	// peerTimeout bounds one request to a storage node.
	peerTimeout = time.Second
	// turnCacheFraction of the memory limit is the size of the cache of recent turns.
	turnCacheFraction = 0.15
	// turnOutputFraction of the memory limit is what the turns in progress may keep of their
	// output.
	turnOutputFraction = 0.125
)

// storageClients are the clients for what storage nodes keep: the turns and token budgets
// of programs, the origins of streams, the quotas of tenants and the crashes under requests.
type storageClients struct {
	lookup        *directory.Lookup
	peers         *peer.Client
	reachability  *reach.Tracker
	budgets       *tokenbudget.Client
	origins       *streamorigin.Client
	conversations *conversation.Service
	quotas        *quota.Client
	crashes       *quarantine.Client
}

// quotaAnnouncer returns the service that makes storage nodes hold quota slots once the
// configuration has tenants.
func (g *Gateway) quotaAnnouncer() *quota.KeepAlive {
	return quota.NewKeepAlive(g.storage.quotas, func() bool {
		table := g.activeTable.Table()
		return table != nil && table.KeysRequired()
	})
}

func newStorageClients(loaded settings.Gateway, metrics prometheus.Registerer, logger *zap.Logger) (*storageClients, error) {
	lookup := directory.NewLookup(nil, logger)
	peers := peer.NewClient(peer.NewHTTPClient(), peerTimeout, peer.NewMetrics(metrics))
	tracker := reach.New(time.Now)
	budgets := tokenbudget.NewClient(peers.Budgets(), lookup, tracker, time.Now, logger)
	turns, err := turnstore.New(loaded.Zone, peers, lookup, tracker, int(turnCacheFraction*float64(loaded.MemoryLimit)))
	if err != nil {
		return nil, err
	}
	conversations := conversation.New(turns, budgets, tracker.IsCutOff, time.Now, rand.Uint64, logger)
	conversations.LimitOutputs(int64(turnOutputFraction * float64(loaded.MemoryLimit)))
	return &storageClients{
		lookup: lookup, peers: peers, reachability: tracker, budgets: budgets,
		origins:       streamorigin.NewClient(peers, lookup),
		crashes:       quarantine.NewClient(quarantine.FollowerID(rand.Uint64()), peers, lookup, time.Now, telemetry.RateLimitedForFollowers(logger)),
		conversations: conversations,
		quotas: quota.NewClient(peers, lookup, tracker, quota.Tolerance{
			Window: loaded.QuotaWindow, Fraction: loaded.QuotaOver, Slack: loaded.QuotaSlack,
		}, quota.NewMetrics(metrics), time.Now, telemetry.RateLimitedForFollowers(logger)),
	}, nil
}
