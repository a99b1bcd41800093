package configuration

import "context"

// Peer is a node that is believed to be alive.
type Peer struct {
	Member
	Leaving bool
	// Version is the configuration version it was last heard to have.
	Version uint64
}

// Peers reaches other nodes.
type Peers interface {
	// Fetch asks a node for what is newer than the known version.
	Fetch(ctx context.Context, to Member, known uint64) (Update, error)
	// Install gives an update to a node.
	Install(ctx context.Context, to Member, update Update) (InstallResult, error)
}

// InstallResult is a node's answer to an update.
type InstallResult struct {
	// Version in force at the node after the request.
	Version uint64
	// Incarnation of the node that answered.
	Incarnation string
	// ShardsDigest is the digest of the shard epochs that the node knows; 0
	// where it doesn't tell.
	ShardsDigest uint64
}

// Members knows the nodes and the replica sets.
type Members interface {
	// Self is this node.
	Self() Peer
	// Live returns the nodes believed to be alive; it may include this one.
	Live() []Peer
	// ReplicaSets returns the present replica set of every shard.
	ReplicaSets() ReplicaSets
}

// ReplicaSets are the replica sets of all shards. Their digest must change as
// soon as a member has sealed an epoch, and a new member must know the
// configuration version of the sealed majority before it serves: otherwise an
// installation could count members that no longer decide.
type ReplicaSets struct {
	Digest uint64
	Sets   []ReplicaSet
}

// ReplicaSet is the replica set of one shard.
type ReplicaSet struct {
	Shard   uint32
	Members []Member
}

// setsOf returns the replica sets that a shard map creates.
func setsOf(shards *ShardMap) ReplicaSets {
	sets := make([]ReplicaSet, len(shards.Members))
	for shard, members := range shards.Members {
		sets[shard] = ReplicaSet{Shard: uint32(shard), Members: members}
	}
	return ReplicaSets{Sets: sets}
}
