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

// listing is what one member of the previous view holds: its registers, and references to
// its turns.
type listing struct {
	member register.Member
	// neverHeld is set if the member never held the data of the previous view. It took part in
	// no quorum of that epoch, so its listing is complete though it is empty.
	neverHeld bool
	registers map[string]replica.Register
	turns     map[TurnReference]struct{}
}

// intersect returns the given turns that the member listed.
func (l *listing) intersect(turns map[TurnReference]struct{}) []TurnReference {
	var held []TurnReference
	for reference := range turns {
		if _, found := l.turns[reference]; found {
			held = append(held, reference)
		}
	}
	return held
}

// holds reports whether the member held the data of the previous view.
func (l *listing) holds() bool { return !l.neverHeld }

// listHedgeDelay is how long to wait for listings before asking one more member. It is a
// multiple of the time that listing a large shard takes.
const listHedgeDelay = 500 * time.Millisecond

// listingResult is the outcome of listing one member.
type listingResult struct {
	listing *listing
	err     error
}

// listMajority returns the listings of a majority of the previous members, at least one of
// which held the data. It asks only as many members as it needs, and one more for each that
// fails, is late or has never held the data: a listing costs a member as much as serving many
// turns, and all members of the successor request listings at the same time.
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
	var lastErr error
	for received := 0; received < asked; {
		select {
		case result := <-results:
			received++
			if result.err != nil {
				lastErr = result.err
				ask(1)
				continue
			}
			listings = append(listings, result.listing)
			if len(listings) >= request.Previous.Quorum() && slices.ContainsFunc(listings, (*listing).holds) {
				return listings, nil
			}
			if result.listing.neverHeld {
				ask(1)
			}
		case <-hedge.C:
			ask(1)
		}
	}
	return nil, tooFewListings(request.Previous, listings, lastErr)
}

// errTooFewListings means that a shard can't be copied: too few members of the previous view
// could be listed, or none of them held the data.
var errTooFewListings = merry.Sentinel("too few members could be listed")

// tooFewListings returns the error for a copy that lacks the listings of a majority.
func tooFewListings(previous register.View, listings []*listing, lastErr error) error {
	holding := 0
	for _, listed := range listings {
		if listed.holds() {
			holding++
		}
	}
	return merry.Wrap(errTooFewListings, merry.AppendMessagef(
		"only %d of %d members of epoch %d of shard %d could be listed, %d of them with the data, need a majority, last error: %v",
		len(listings), len(previous.Members), previous.Epoch, previous.Shard, holding, lastErr))
}

// listingOrder returns the members in the order in which to list them: this replica first,
// since that needs no request, then the others in an order that differs between replicas,
// which spreads the load.
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
	result := &listing{
		member:    member,
		registers: make(map[string]replica.Register),
		turns:     make(map[TurnReference]struct{}),
	}
	pull := PullRequest{Fence: fenceOf(request.Previous, member), TurnsOnly: request.TurnsOnly, OmitObjects: true}
	reply, err := i.pull(ctx, member, pull, func(item PullItem) error {
		if item.Turn != nil {
			result.turns[referenceOf(*item.Turn)] = struct{}{}
		}
		if item.Register != nil {
			result.registers[item.Register.Key] = item.Register.State
		}
		return ctx.Err()
	})
	if err == nil && reply.Refusal == register.RefusalNeverHeld {
		result.neverHeld = true
		return result, nil
	}
	if err := replyError(reply, err); err != nil {
		return nil, merry.Prependf(err, "list shard %d of node %s", request.Previous.Shard, member.Node)
	}
	return result, nil
}

// pull reads from a member, or directly from the local replica.
func (i *Installer) pull(ctx context.Context, member register.Member, request PullRequest, visit func(PullItem) error) (archive.Reply, error) {
	if member.Incarnation == i.replica.incarnation {
		return i.replica.Pull(ctx, request, visit)
	}
	return i.source.Pull(ctx, member, request, visit)
}

func fenceOf(view register.View, member register.Member) register.Fence {
	return register.Fence{Shard: view.Shard, Epoch: view.Epoch, Replica: member.Incarnation}
}

// replyError returns err, or an error for a reply that is a refusal.
func replyError(reply archive.Reply, err error) error {
	if err != nil {
		return err
	}
	if reply.Refusal != register.RefusalNone {
		return merry.Errorf("refused: %s", reply.Refusal)
	}
	return nil
}

// inheritedSeparator separates the proposer of a ballot from the incarnation that inherited
// the value. It sorts before every character of a proposer, which preserves the order of
// ballots.
const inheritedSeparator = "\x00"

// markInherited marks an accepted value as copied from an earlier epoch. Members may have
// copied from different majorities, so a value that a majority of them holds at the same
// ballot need not have been decided. The mark makes the ballot differ between members,
// which forces a proposer to have the value accepted again before relying on it.
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
