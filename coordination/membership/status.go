package membership

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// A NodeStatus message has one of three forms:
//
//   - a full status: all fields that apply;
//   - a query: node, incarnation and heartbeat only. The sender suspects the
//     node and asks for a status with a later heartbeat;
//   - a digest: no node name; heartbeat carries the digest of the sender's
//     table and started_unix_ms the number of its live nodes. Equal digests
//     mean equal tables.

func isDigest(status *peerv1.NodeStatus) bool {
	return status.GetNode() == ""
}

func isQuery(status *peerv1.NodeStatus) bool {
	return status.GetAddress() == "" && !status.GetGone()
}

func (g *Gossip) digestStatus() *peerv1.NodeStatus {
	return &peerv1.NodeStatus{
		Heartbeat:     g.tableDigest(),
		StartedUnixMs: int64(len(g.members.Load().live)),
	}
}

func newQuery(status *peerv1.NodeStatus, heartbeat uint64) *peerv1.NodeStatus {
	return &peerv1.NodeStatus{
		Node:        status.GetNode(),
		Incarnation: status.GetIncarnation(),
		Heartbeat:   heartbeat,
	}
}

// isValidStatus checks the required fields and the length limits of a status.
func isValidStatus(status *peerv1.NodeStatus) bool {
	names := []string{status.GetNode(), status.GetIncarnation(), status.GetAddress(), status.GetZone(), status.GetCallerAddress()}
	for _, name := range names {
		if len(name) > maximumNameLength {
			return false
		}
	}
	return status.GetNode() != "" && status.GetIncarnation() != ""
}

// supersedes reports whether candidate is newer than known, a status of the same
// node. The later start wins, then the higher heartbeat; at equal heartbeats the
// gone mark wins, so that only the node itself can refute it.
func supersedes(candidate, known *peerv1.NodeStatus) bool {
	order := compareStarts(candidate, known)
	if order == 0 {
		order = cmp.Compare(candidate.GetHeartbeat(), known.GetHeartbeat())
	}
	if order == 0 {
		return candidate.GetGone() && !known.GetGone()
	}
	return order > 0
}

// compareStarts orders two runs of a node by start time, then by incarnation. A
// node with a data folder keeps its incarnation across restarts, so the
// incarnation alone doesn't distinguish them.
func compareStarts(a, b *peerv1.NodeStatus) int {
	order := cmp.Compare(a.GetStartedUnixMs(), b.GetStartedUnixMs())
	if order == 0 {
		order = cmp.Compare(a.GetIncarnation(), b.GetIncarnation())
	}
	return order
}

// needsDissemination reports whether the change from known to status must be sent
// to other nodes. An advance of the heartbeat alone needn't be.
func needsDissemination(known, status *peerv1.NodeStatus) bool {
	return compareStarts(known, status) != 0 ||
		known.GetGone() != status.GetGone() ||
		known.GetLeaving() != status.GetLeaving() ||
		known.GetAddress() != status.GetAddress() && !status.GetGone()
}

// goneStatus returns the gone mark of a node, reduced to the fields that identify
// its run.
func goneStatus(status *peerv1.NodeStatus, heartbeat uint64) *peerv1.NodeStatus {
	return &peerv1.NodeStatus{
		Node:          status.GetNode(),
		Incarnation:   status.GetIncarnation(),
		Heartbeat:     heartbeat,
		StartedUnixMs: status.GetStartedUnixMs(),
		Gone:          true,
	}
}

// withKnownLocation fills in a gone node's address and zone, which its gone mark
// may lack.
func withKnownLocation(gone, known *peerv1.NodeStatus) *peerv1.NodeStatus {
	result := proto.CloneOf(gone)
	if result.Address == "" {
		result.Address = known.GetAddress()
	}
	if result.Zone == "" {
		result.Zone = known.GetZone()
	}
	return result
}

func (g *Gossip) member(known *nodeRecord) Member {
	status := known.status
	return Member{
		Node:          status.GetNode(),
		Incarnation:   status.GetIncarnation(),
		Address:       status.GetAddress(),
		CallerAddress: status.GetCallerAddress(),
		Zone:          status.GetZone(),
		State:         known.state(),
		Leaving:       status.GetLeaving() || g.machineLeaving(status.GetNode()),
		HasDataFolder: status.GetHasDataFolder(),
		Started:       time.UnixMilli(status.GetStartedUnixMs()),
	}
}
