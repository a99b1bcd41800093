package configuration

// installation counts which replicas have installed a version. It does no I/O.
type installation struct {
	version uint64
	sets    ReplicaSets
	// installed holds the incarnations that have the version.
	installed map[string]bool
}

func newInstallation(version uint64, sets ReplicaSets) *installation {
	return &installation{version: version, sets: sets, installed: make(map[string]bool)}
}

// acknowledge takes in a node's answer. It counts only for the incarnation that
// is a member, and only where the node knows the same shard epochs.
func (i *installation) acknowledge(member Member, answer InstallResult) {
	if answer.Version < i.version || answer.Incarnation != member.Incarnation {
		return
	}
	if answer.ShardsDigest != i.sets.Digest && answer.ShardsDigest != 0 && i.sets.Digest != 0 {
		return
	}
	i.installed[member.Incarnation] = true
}

// done tells whether a majority of every replica set has the version.
func (i *installation) done() bool {
	for _, set := range i.sets.Sets {
		if !i.hasMajority(set) {
			return false
		}
	}
	return true
}

func (i *installation) hasMajority(set ReplicaSet) bool {
	count := 0
	for _, member := range set.Members {
		if i.installed[member.Incarnation] {
			count++
		}
	}
	return count > len(set.Members)/2
}

// missing returns the members, each once, that a set without a majority waits
// for.
func (i *installation) missing() []Member {
	var members []Member
	listed := make(map[string]bool)
	for _, set := range i.sets.Sets {
		if i.hasMajority(set) {
			continue
		}
		for _, member := range set.Members {
			if i.installed[member.Incarnation] || listed[member.Incarnation] {
				continue
			}
			listed[member.Incarnation] = true
			members = append(members, member)
		}
	}
	return members
}

// lacking returns the shards without a majority.
func (i *installation) lacking() []uint32 {
	var shards []uint32
	for _, set := range i.sets.Sets {
		if !i.hasMajority(set) {
			shards = append(shards, set.Shard)
		}
	}
	return shards
}
