package storage

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/shard"
)

const (
	// shardCountMetaShard is the reserved shard number under which the number of shards is
	// stored. The two numbers after it are reserved for the replica's own state and for
	// copies of mirrored objects.
	shardCountMetaShard uint32 = 1<<32 - 3
	shardCountMetaName         = "shard-count"
	shardCountBytes            = 4
)

// loadShardMap creates this node's shard map with the number of shards from the disk. If
// the disk has none, the published replica sets provide it later.
func (n *Node) loadShardMap() (*shard.Map, error) {
	stored, err := n.disk.LoadMeta(shardCountMetaShard, shardCountMetaName)
	if err != nil {
		return nil, merry.Prepend(err, "loading the number of shards")
	}
	if len(stored) != shardCountBytes {
		if stored != nil {
			n.logger.Warn("invalid number of shards on disk ignored", zap.Binary("kept", stored))
		}
		return shard.NewMap(0), nil
	}
	return shard.NewMap(binary.BigEndian.Uint32(stored)), nil
}

// saveShardCount writes the number of shards to the disk. It must run before anything that
// depends on the number is stored: if nodes assign a program to different shards, its
// budget is counted twice.
func (n *Node) saveShardCount(count uint32) error {
	return n.disk.SaveMeta(shardCountMetaShard, shardCountMetaName, binary.BigEndian.AppendUint32(nil, count))
}

// applySets applies the published replica sets. When the number of shards first becomes
// known, it opens this node's replicas.
func (n *Node) applySets(snapshot follow.Snapshot) {
	wasUnknown := n.views.Count() == 0
	n.lookup.Apply(snapshot)
	if wasUnknown && n.views.Count() > 0 {
		if err := n.replica.Restore(); err != nil {
			n.logger.Error("restoring replicas failed", zap.Error(err))
		}
	}
	n.directoryWriter.ApplySets(snapshot)
}

// newSetsReader returns a service that reads the replica sets from other storage nodes
// while the store is unreachable. A node with an empty disk has no other source.
func (n *Node) newSetsReader(sets *follow.Follower) *mirror.CopyReader {
	return mirror.NewReader(n.otherNodes, n.peers, map[string]mirror.Follower{mirror.KindReplicaSets: sets}, time.Now, n.logger)
}

// otherNodes returns the addresses of the other known storage nodes.
func (n *Node) otherNodes() []netip.AddrPort {
	var others []netip.AddrPort
	for _, known := range n.knownAddresses() {
		address, err := netip.ParseAddrPort(known)
		if err == nil && known != n.self.Address {
			others = append(others, address)
		}
	}
	return others
}
