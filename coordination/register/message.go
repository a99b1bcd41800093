package register

import (
	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/state/replica"
)

// Refusal says why a replica refused a request. The numbers are those of
// marblering.peer.v1.Refusal.
type Refusal uint32

// Refusals of a replica; RefusalNone means that the request was granted.
const (
	RefusalNone Refusal = 0
	// RefusalBallot: a higher ballot was promised or an equal one was used.
	RefusalBallot Refusal = 1
	// RefusalEpoch: the request names another epoch than the replica serves.
	RefusalEpoch Refusal = 2
	// RefusalSealed: the epoch has ended at this replica.
	RefusalSealed Refusal = 3
	// RefusalConfiguration: the replica knows a newer configuration.
	RefusalConfiguration Refusal = 4
	// RefusalIncarnation: the request is meant for another life of the node.
	RefusalIncarnation Refusal = 5
	// RefusalNotReady: the replica has not been installed or opened yet.
	RefusalNotReady Refusal = 6
	// RefusalStorage: the replica's medium failed.
	RefusalStorage Refusal = 7
)

// refusalNames are the names by number.
var refusalNames = [...]string{
	"none", "ballot", "epoch", "sealed", "configuration", "incarnation", "not ready", "storage",
}

// String returns the refusal's name for logs and errors.
func (r Refusal) String() string {
	if int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return "unknown refusal"
}

// Member is one replica of a shard: one life of one node.
type Member struct {
	// Node is the node's name, Incarnation the id of its life.
	Node        string
	Incarnation string
	// Address is host:port of the node's internal protocol.
	Address string
	Zone    string
}

// View is one epoch of a shard's replica set.
type View struct {
	Shard uint32
	// Epoch counts the replica sets of the shard, from one.
	Epoch   uint64
	Members []Member
}

// ErrRepeatedMember means that a view counts one node, or one replica, twice.
var ErrRepeatedMember = merry.Sentinel("register: a view names a node twice")

// Validate refuses a view that counts one node twice, such as its old and its new
// incarnation: a majority of such a view may be a minority of the disks.
func (v View) Validate() error {
	for index, member := range v.Members {
		for _, earlier := range v.Members[:index] {
			if member.Node == earlier.Node || member.Incarnation == earlier.Incarnation {
				return merry.Wrap(ErrRepeatedMember, merry.AppendMessagef("%s in epoch %d of shard %d", member.Node, v.Epoch, v.Shard))
			}
		}
	}
	return nil
}

// Quorum returns the size of a majority of the members.
func (v View) Quorum() int { return quorum(len(v.Members)) }

func quorum(members int) int { return members/2 + 1 }

// Fence travels with every request to a replica, which refuses a request for
// another incarnation or epoch, or under an older configuration than its own.
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
	// Promised is the highest promised ballot; set where Refusal is
	// RefusalBallot.
	Promised replica.Ballot
	// Accepted and Value are what the replica accepted last, where it grants.
	Accepted replica.Ballot
	Value    []byte
	// View is the newest view of the shard that the replica knows, or nil.
	View *View
	// ConfigurationVersion is the newest that the replica knows.
	ConfigurationVersion uint64
}

// AcceptRequest asks the replica to accept Value at Ballot and, along with it,
// to promise Next.
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
	// Promised is the highest promised ballot; set where Refusal is
	// RefusalBallot.
	Promised replica.Ballot
	// View is the newest view of the shard that the replica knows, or nil.
	View *View
	// ConfigurationVersion is the newest that the replica knows.
	ConfigurationVersion uint64
}
