package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// TestSuspectMarkedAsGoneByMessage guards against a panic at the first step after a pause of the
// process, and at its departure, if a message has marked a suspect as gone before.
func TestSuspectMarkedAsGoneByMessage(t *testing.T) {
	for name, next := range map[string]func(g *Gossip, now time.Time){
		"step after a pause": func(g *Gossip, now time.Time) { g.Step(now.Add(2 * stallThreshold)) },
		"departure":          func(g *Gossip, now time.Time) { g.Depart(now) },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1_700_000_000_000)
			identity := Identity{Node: "self", Incarnation: "self-1", Address: address(1), Started: now}
			g := New(Settings{}, identity, nil, rand.New(rand.NewPCG(1, 1)), now)
			suspect := &peerv1.NodeStatus{Node: "suspect", Incarnation: "suspect-1", Address: address(2), Heartbeat: 1}
			other := &peerv1.NodeStatus{Node: "other", Incarnation: "other-1", Address: address(3), Heartbeat: 1}
			g.HandleRequest(now, &peerv1.ExchangeRequest{Sender: suspect})
			g.HandleRequest(now, &peerv1.ExchangeRequest{Sender: other})
			g.Step(now)
			g.suspect(now, g.records["suspect"])
			g.HandleRequest(now, &peerv1.ExchangeRequest{Sender: other, Nodes: []*peerv1.NodeStatus{goneStatus(suspect, 100)}})
			defer func() {
				if cause := recover(); cause != nil {
					t.Errorf("panic: %v", cause)
				}
			}()
			next(g, now)
		})
	}
}
