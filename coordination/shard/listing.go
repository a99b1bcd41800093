package shard

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// listing is what one member of the previous view holds: its registers, and
// the turns by name.
type listing struct {
	member    register.Member
	registers map[string]replica.Register
	turns     map[TurnReference]struct{}
}

// intersect returns those of the turns that the member listed.
func (l *listing) intersect(turns map[TurnReference]struct{}) []TurnReference {
	var held []TurnReference
	for reference := range turns {
		if _, found := l.turns[reference]; found {
			held = append(held, reference)
		}
	}
	return held
}

// listHedgeDelay is how long the members that were asked for listings may take
// before another one is asked as well: some times what a listing of a large
// shard takes.
const listHedgeDelay = 500 * time.Millisecond

// listingResult is the outcome of one member's listing.
type listingResult struct {
	listing *listing
	err     error
}

// listMajority reads the listings of a majority of the previous members. It asks no more
// of them, unless some fail or are late: a listing is as much work for a member
// as many turns, and all members of the successor ask for listings at once.
func (i *Installer) listMajority(ctx context.Context, request InstallRequest) ([]*listing, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := i.listingOrder(request.Previous.Members)
	results := make(chan listingResult, len(members))
	asked := 0
	ask := func(count int) {
		for ; asked < len(members) && count > 0; count-- {
			member := members[asked]
			asked++
			go func() {
				found, err := i.listMember(ctx, request, member)
				results <- listingResult{listing: found, err: err}
			}()
		}
	}
	ask(request.Previous.Quorum())
	hedge := time.NewTicker(listHedgeDelay)
	defer hedge.Stop()
	var listings []*listing
	var last error
	for received := 0; received < asked; {
		select {
		case result := <-results:
			received++
			if result.err != nil {
				last = result.err
				ask(1)
				continue
			}
			listings = append(listings, result.listing)
			if len(listings) == request.Previous.Quorum() {
				return listings, nil
			}
		case <-hedge.C:
			ask(1)
		}
	}
	return nil, tooFewListings(request.Previous, len(listings), last)
}

// tooFewListings is the error of a copy that a majority of the previous view's members
// can't be listed for.
func tooFewListings(previous register.View, listed int, last error) error {
	return merry.Prependf(last, "%d of %d members of epoch %d can be copied, a majority is needed",
		listed, len(previous.Members), previous.Epoch)
}

// listingOrder puts this replica's own listing first, which costs no request, and
// the others in an order of this replica's own, so that each is asked about as
// often as the others.
func (i *Installer) listingOrder(members []register.Member) []register.Member {
	own := i.replica.incarnation
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b register.Member) int {
		switch own {
		case a.Incarnation:
			return -1
		case b.Incarnation:
			return 1
		}
		return cmp.Compare(register.Rank(b.Node, own), register.Rank(a.Node, own))
	})
	return ordered
}

func (i *Installer) listMember(ctx context.Context, request InstallRequest, member register.Member) (*listing, error) {
	made := &listing{
		member:    member,
		registers: make(map[string]replica.Register),
		turns:     make(map[TurnReference]struct{}),
	}
	pull := PullRequest{Fence: fenceOf(request.Previous, member), TurnsOnly: request.TurnsOnly, OmitObjects: true}
	reply, err := i.pull(ctx, member, pull, func(item PullItem) error {
		if item.Turn != nil {
			made.turns[referenceOf(*item.Turn)] = struct{}{}
		}
		if item.Register != nil {
			made.registers[item.Register.Key] = item.Register.State
		}
		return ctx.Err()
	})
	if err := replyError(reply, err); err != nil {
		return nil, merry.Prependf(err, "list shard %d of node %s", request.Previous.Shard, member.Node)
	}
	return made, nil
}

// pull reads from a member, from this replica without a connection.
func (i *Installer) pull(ctx context.Context, member register.Member, request PullRequest, visit func(PullItem) error) (archive.Reply, error) {
	if member.Incarnation == i.replica.incarnation {
		return i.replica.Pull(ctx, request, visit)
	}
	return i.source.Pull(ctx, member, request, visit)
}

func fenceOf(view register.View, member register.Member) register.Fence {
	return register.Fence{Shard: view.Shard, Epoch: view.Epoch, Replica: member.Incarnation}
}

// replyError makes a refusal an error.
func replyError(reply archive.Reply, err error) error {
	if err != nil {
		return err
	}
	if reply.Refusal != register.RefusalNone {
		return merry.Errorf("refused: %s", reply.Refusal)
	}
	return nil
}

// inheritedSeparator parts the proposer of a ballot from the incarnation that
// inherited the value. It sorts before every character of a proposer's name, so
// that the order of ballots stays what it was.
const inheritedSeparator = "\x00"

// markInherited marks an accepted value as copied from an earlier epoch. Members may
// have copied from different majorities, so a value that some of them hold at
// one ballot need not be one that was ever decided, although it looks so. The
// mark makes the ballot differ at each member, and a proposer has the value
// accepted anew before it relies on it.
func markInherited(state replica.Register, incarnation string) replica.Register {
	if state.Accepted.IsZero() {
		return state
	}
	proposer, _, _ := strings.Cut(state.Accepted.Proposer, inheritedSeparator)
	state.Accepted.Proposer = proposer + inheritedSeparator + incarnation
	if state.Promised.Less(state.Accepted) {
		state.Promised = state.Accepted
	}
	return state
}
