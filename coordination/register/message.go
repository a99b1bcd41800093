package register

import (
	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/state/replica"
)

// Refusal says why a replica refused a request. The values are those of
// marblering.peer.v1.Refusal.
type Refusal uint32

// Reasons for a refusal; RefusalNone means that the request was granted.
const (
	RefusalNone Refusal = 0
	// RefusalBallot: a higher ballot was promised, or the ballot was used before.
	RefusalBallot Refusal = 1
	// RefusalEpoch: the request names an epoch other than the replica's.
	RefusalEpoch Refusal = 2
	// RefusalSealed: the epoch has ended at this replica.
	RefusalSealed Refusal = 3
	// RefusalConfiguration: the replica knows a newer configuration.
	RefusalConfiguration Refusal = 4
	// RefusalIncarnation: the request is meant for another incarnation of the node.
	RefusalIncarnation Refusal = 5
	// RefusalNotReady: the replica hasn't been installed or opened yet.
	RefusalNotReady Refusal = 6
	// RefusalStorage: the replica's storage failed.
	RefusalStorage Refusal = 7
	// RefusalNeverHeld: the epoch has ended, and the replica never held its data.
	RefusalNeverHeld Refusal = 8
)

// refusalNames holds the names of the refusals by value.
var refusalNames = [...]string{
	"none", "ballot", "epoch", "sealed", "configuration", "incarnation", "not ready", "storage",
	"never held",
}

// String returns the refusal's name for logs and errors.
func (r Refusal) String() string {
	if int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return "unknown refusal"
}

// Member is one replica of a shard: one incarnation of a node.
type Member struct {
	// Node is the name of the node, Incarnation the id of its incarnation.
	Node        string
	Incarnation string
	// Address is the host:port of the node's internal protocol.
	Address string
	Zone    string
}

// View is the replica set of a shard in one epoch.
type View struct {
	Shard uint32
	// Epoch is the number of the replica set within its shard, from one.
	Epoch   uint64
	Members []Member
}

// ErrDuplicateMember means that a view contains a node or an incarnation twice.
var ErrDuplicateMember = merry.Sentinel("register: the view contains a node twice")

// Validate returns ErrDuplicateMember for a view that counts a node twice, such as its old
// and its new incarnation: a majority of such a view may be a minority of the nodes.
func (v View) Validate() error {
	for index, member := range v.Members {
		for _, earlier := range v.Members[:index] {
			if member.Node == earlier.Node || member.Incarnation == earlier.Incarnation {
				return merry.Wrap(ErrDuplicateMember, merry.AppendMessagef("%s in epoch %d of shard %d", member.Node, v.Epoch, v.Shard))
			}
		}
	}
	return nil
}

// Quorum returns the size of a majority of the members.
func (v View) Quorum() int { return quorum(len(v.Members)) }

func quorum(members int) int { return members/2 + 1 }

// Fence is part of every request to a replica. The replica refuses requests for another
// incarnation or epoch, and those with an older configuration than its own.
type Fence struct {
	Shard                uint32
	Epoch                uint64
	ConfigurationVersion uint64
	// Replica is the incarnation of the addressed member.
	Replica string
}

// PrepareRequest asks for the promise to refuse ballots below Ballot.
type PrepareRequest struct {
	Fence  Fence
	Key    string
	Ballot replica.Ballot
}

// PrepareReply answers a PrepareRequest.
type PrepareReply struct {
	Refusal Refusal
	// Promised is the highest promised or accepted ballot; set if Refusal is
	// RefusalBallot.
	Promised replica.Ballot
	// Accepted and Value are the ballot and the value that the replica accepted last;
	// set if the request is granted.
	Accepted replica.Ballot
	Value    []byte
	// View is the newest view of the shard that the replica knows, or nil.
	View *View
	// ConfigurationVersion is the newest version that the replica knows.
	ConfigurationVersion uint64
}

// AcceptRequest asks the replica to accept Value at Ballot and to promise Next.
type AcceptRequest struct {
	Fence  Fence
	Key    string
	Ballot replica.Ballot
	Value  []byte
	// Next is a ballot above Ballot, or zero to promise nothing more.
	Next replica.Ballot
}

// AcceptReply answers an AcceptRequest.
type AcceptReply struct {
	Refusal Refusal
	// Promised is the highest promised or accepted ballot; set if Refusal is
	// RefusalBallot.
	Promised replica.Ballot
	// View is the newest view of the shard that the replica knows, or nil.
	View *View
	// ConfigurationVersion is the newest version that the replica knows.
	ConfigurationVersion uint64
}
