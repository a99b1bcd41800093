package peer

import (
	"github.com/ansel1/merry/v2"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

var errMissingView = merry.New("the request contains no shard view")

func fenceToWire(fence register.Fence) *peerv1.Fence {
	return &peerv1.Fence{
		Shard:                fence.Shard,
		Epoch:                fence.Epoch,
		ConfigurationVersion: fence.ConfigurationVersion,
		Replica:              fence.Replica,
	}
}

func fenceFromWire(fence *peerv1.Fence) register.Fence {
	return register.Fence{
		Shard:                fence.GetShard(),
		Epoch:                fence.GetEpoch(),
		ConfigurationVersion: fence.GetConfigurationVersion(),
		Replica:              fence.GetReplica(),
	}
}

func ballotToWire(ballot replica.Ballot) *peerv1.Ballot {
	if ballot.IsZero() {
		return nil
	}
	return &peerv1.Ballot{Counter: ballot.Counter, Proposer: ballot.Proposer}
}

func ballotFromWire(ballot *peerv1.Ballot) replica.Ballot {
	return replica.Ballot{Counter: ballot.GetCounter(), Proposer: ballot.GetProposer()}
}

func memberToWire(member register.Member) *peerv1.Member {
	return &peerv1.Member{
		Node:        member.Node,
		Incarnation: member.Incarnation,
		Address:     member.Address,
		Zone:        member.Zone,
	}
}

func memberFromWire(member *peerv1.Member) register.Member {
	return register.Member{
		Node:        member.GetNode(),
		Incarnation: member.GetIncarnation(),
		Address:     member.GetAddress(),
		Zone:        member.GetZone(),
	}
}

// ViewToWire converts a view to its wire form. It returns nil for nil.
func ViewToWire(view *register.View) *peerv1.ShardView {
	if view == nil {
		return nil
	}
	converted := &peerv1.ShardView{Shard: view.Shard, Epoch: view.Epoch}
	for _, member := range view.Members {
		converted.Members = append(converted.Members, memberToWire(member))
	}
	return converted
}

// ViewFromWire converts a view from its wire form. It returns nil for nil.
func ViewFromWire(view *peerv1.ShardView) *register.View {
	if view == nil {
		return nil
	}
	converted := &register.View{Shard: view.GetShard(), Epoch: view.GetEpoch()}
	for _, member := range view.GetMembers() {
		converted.Members = append(converted.Members, memberFromWire(member))
	}
	return converted
}

func turnToWire(turn replica.Turn) *peerv1.StoredTurn {
	return &peerv1.StoredTurn{
		Program:  turn.Program,
		Sequence: turn.Sequence,
		Digest:   turn.Digest[:],
		Object:   turn.Object,
	}
}

func turnFromWire(turn *peerv1.StoredTurn) (replica.Turn, error) {
	digest, err := digestFromWire(turn.GetDigest())
	if err != nil {
		return replica.Turn{}, err
	}
	return replica.Turn{
		Program:  turn.GetProgram(),
		Sequence: turn.GetSequence(),
		Digest:   digest,
		Object:   turn.GetObject(),
	}, nil
}

func digestFromWire(digest []byte) ([32]byte, error) {
	if len(digest) != 32 {
		return [32]byte{}, merry.Errorf("digest has %d bytes, want 32", len(digest))
	}
	return [32]byte(digest), nil
}
