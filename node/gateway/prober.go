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
	// probeInterval is the interval between checks of reachability, and between probes.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds one probe. A healthy node answers within a few milliseconds.
	probeTimeout = 300 * time.Millisecond
)

// prober is a suture service that probes storage nodes while none is reachable. Turns are
// refused during that time, so no other call would detect that a node is back.
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

// String returns the name of the service in supervisor events.
func (p *prober) String() string { return "storage node prober" }

// Serve implements suture.Service.
func (p *prober) Serve(ctx context.Context) error {
	for sleep.For(ctx, probeInterval) == nil {
		isCutOff := p.reachability.IsCutOff()
		if isCutOff != p.wasCutOff {
			p.logger.Info("storage node reachability changed", zap.Bool("cut_off", isCutOff))
		}
		p.wasCutOff = isCutOff
		if isCutOff {
			p.probe(ctx)
		}
	}
	return ctx.Err()
}

// probe calls the next node. Any answer shows that the node is reachable.
func (p *prober) probe(ctx context.Context) {
	nodes := p.nodes()
	if len(nodes) == 0 {
		return
	}
	node := nodes[p.next%len(nodes)]
	p.next++
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := p.watcher.WatchMirror(ctx, node, mirror.KindReplicaSets, math.MaxInt64, 0); err == nil {
		p.reachability.RecordResponse(node.String())
	}
}
