package gateway

import (
	"context"
	"math"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// probeInterval lies between two looks, and between two probes of storage nodes
	// (chosen, not measured).
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds one probe; a node that is well answers within a few
	// milliseconds (chosen, not measured).
	probeTimeout = 300 * time.Millisecond
)

// prober asks storage nodes whether they can be reached while none of them can be.
// Turns are refused then, so that nothing else would notice their return. It is a suture
// service.
type prober struct {
	reachability *reach.Tracker
	nodes        func() []netip.AddrPort
	watcher      mirror.Watcher
	logger       *zap.Logger
	wasCutOff    bool
	next         int
}

func (g *Gateway) prober() *prober {
	return &prober{reachability: g.storage.reachability, nodes: g.orderedHolders, watcher: g.storage.peers, logger: g.logger}
}

// String names the service in the supervisor's messages.
func (p *prober) String() string { return "prober of storage nodes" }

// Serve implements suture.Service.
func (p *prober) Serve(ctx context.Context) error {
	for sleep.For(ctx, probeInterval) == nil {
		isCutOff := p.reachability.IsCutOff()
		if isCutOff != p.wasCutOff {
			p.logger.Info("reach of storage nodes changed", zap.Bool("cut_off", isCutOff))
		}
		p.wasCutOff = isCutOff
		if isCutOff {
			p.probe(ctx)
		}
	}
	return ctx.Err()
}

// probe asks the next node for nothing in particular; any answer will do.
func (p *prober) probe(ctx context.Context) {
	nodes := p.nodes()
	if len(nodes) == 0 {
		return
	}
	node := nodes[p.next%len(nodes)]
	p.next++
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := p.watcher.WatchMirror(ctx, node, mirror.KindSets, math.MaxInt64, 0); err == nil {
		p.reachability.Heard(node.String())
	}
}
