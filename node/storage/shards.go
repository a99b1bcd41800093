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
	// countShard is the shard number under which the number of shards is kept, the
	// last but two: the last are those of the replica's own state and of copies of
	// what the store had.
	countShard uint32 = 1<<32 - 3
	countName         = "shard-count"
	countBytes        = 4
)

// newMap makes this node's map with the number of shards that its disk has; without
// one it is learned with the published sets.
func (n *Node) newMap() (*shard.Map, error) {
	kept, err := n.store.LoadMeta(countShard, countName)
	if err != nil {
		return nil, merry.Prepend(err, "load the number of shards")
	}
	if len(kept) != countBytes {
		if kept != nil {
			n.logger.Warn("number of shards can't be read", zap.Binary("kept", kept))
		}
		return shard.NewMap(0), nil
	}
	return shard.NewMap(binary.BigEndian.Uint32(kept)), nil
}

// keepShards writes the number of shards to the disk, before anything is stored
// that depends on it: a node that locates a program in another shard than others do
// would count its budget twice.
func (n *Node) keepShards(count uint32) error {
	return n.store.SaveMeta(countShard, countName, binary.BigEndian.AppendUint32(nil, count))
}

// applySets learns the published sets. A node that hears of them for the first time opens
// its replicas of them.
func (n *Node) applySets(snapshot follow.Snapshot) {
	wasUnknown := n.views.Count() == 0
	n.lookup.Apply(snapshot)
	if wasUnknown && n.views.Count() > 0 {
		if err := n.replica.Restore(); err != nil {
			n.logger.Error("replicas not restored", zap.Error(err))
		}
	}
	n.keeper.ApplySets(snapshot)
}

// setsReader asks other storage nodes for the sets while the store is out of reach:
// a node with an empty disk knows nothing about shards otherwise.
func (n *Node) setsReader(sets *follow.Follower) *mirror.Reader {
	return mirror.NewReader(n.otherNodes, n.peers, map[string]mirror.Follower{mirror.KindSets: sets}, time.Now, n.logger)
}

// otherNodes lists the storage nodes that this one has heard of.
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
