package membership

import (
	"time"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// Identity holds the properties of a node that are fixed for one run of it.
type Identity struct {
	Node string
	// Incarnation identifies one run of the node. It must be new at every start
	// unless the node restored its state from a data folder.
	Incarnation   string
	Address       string
	CallerAddress string
	Zone          string
	HasDataFolder bool
	Started       time.Time
}

// localStatus holds this node's own status.
type localStatus struct {
	identity             Identity
	startedUnixMs        int64
	heartbeatEpoch       time.Time
	heartbeatOffset      uint64
	heartbeat            uint64
	leaving              bool
	gone                 bool
	configurationVersion uint64
}

func (s *localStatus) updateHeartbeat(now time.Time) {
	elapsed := now.Sub(s.heartbeatEpoch)
	if elapsed < 0 {
		elapsed = 0
	}
	s.raiseHeartbeat(s.heartbeatOffset + uint64(elapsed/heartbeatInterval) + 1)
}

// raiseHeartbeat sets the heartbeat to value unless it is already higher.
func (s *localStatus) raiseHeartbeat(value uint64) {
	s.heartbeat = max(s.heartbeat, value)
}

// advanceHeartbeat moves the heartbeat past above and past its current value, so
// that the next status supersedes all earlier ones.
func (s *localStatus) advanceHeartbeat(above uint64) {
	target := max(s.heartbeat, above) + 1
	s.heartbeatOffset += target - s.heartbeat
	s.heartbeat = target
}

func (s *localStatus) status() *peerv1.NodeStatus {
	return &peerv1.NodeStatus{
		Node:                 s.identity.Node,
		Incarnation:          s.identity.Incarnation,
		Address:              s.identity.Address,
		CallerAddress:        s.identity.CallerAddress,
		Zone:                 s.identity.Zone,
		Heartbeat:            s.heartbeat,
		Leaving:              s.leaving,
		HasDataFolder:        s.identity.HasDataFolder,
		ConfigurationVersion: s.configurationVersion,
		StartedUnixMs:        s.startedUnixMs,
		Gone:                 s.gone,
	}
}

// refute makes this node's status supersede a claim about it, as in SWIM. It
// reports whether the status changed and must be disseminated.
func (s *localStatus) refute(claim *peerv1.NodeStatus) bool {
	mine := s.status()
	if !supersedes(claim, mine) {
		return false
	}
	if compareStarts(claim, mine) > 0 {
		// The clock was set back between two starts of this node.
		s.startedUnixMs = claim.GetStartedUnixMs() + 1
		return true
	}
	s.advanceHeartbeat(claim.GetHeartbeat())
	return true
}

func (g *Gossip) selfMember() Member {
	identity := g.self.identity
	return Member{
		Node:          identity.Node,
		Incarnation:   identity.Incarnation,
		Address:       identity.Address,
		CallerAddress: identity.CallerAddress,
		Zone:          identity.Zone,
		State:         g.selfState(),
		Leaving:       g.self.leaving || g.machineLeaving(identity.Node),
		HasDataFolder: identity.HasDataFolder,
		Started:       time.UnixMilli(g.self.startedUnixMs),
	}
}

func (g *Gossip) selfState() State {
	if g.self.gone {
		return Gone
	}
	return Alive
}
