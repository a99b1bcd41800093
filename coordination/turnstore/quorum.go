package turnstore

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// minRoundPause is the pause between the first two rounds. It doubles with each round
	// up to maxRoundPause: no round succeeds while a replica set changes, and retries
	// slow down the nodes that carry out the change. With the shortest pause between all
	// rounds, five times the usual number of copies of turns was sent meanwhile.
	minRoundPause = 30 * time.Millisecond
	maxRoundPause = 200 * time.Millisecond
)

// fanOut returns the number of members of a view to which a round sends requests at first.
type fanOut func(view register.View) int

// quorumFirst is for writes, and for reads that likely find nothing, which only a quorum
// can confirm.
func quorumFirst(view register.View) int { return view.Quorum() }

// nearestOnly is for reads that a single answer usually completes.
func nearestOnly(register.View) int { return 1 }

// performers are the nodes that performed an action in an epoch of a shard.
type performers struct {
	shard uint32
	epoch uint64
	nodes []string
}

// String returns the performers for a log line.
func (p performers) String() string {
	return fmt.Sprintf("shard %d epoch %d: %s", p.shard, p.epoch, strings.Join(p.nodes, " "))
}

// retryUntilQuorum repeats rounds until a quorum has performed the action or one answer
// suffices, and returns who did. If the context ends first, it returns a *NoQuorumError with
// the last answer of each member.
func (s *Store) retryUntilQuorum(ctx context.Context, shard uint32, act action, first fanOut) (performers, error) {
	log := newAnswerLog(shard)
	var lastErr error
	for pause := minRoundPause; ; pause = min(2*pause, maxRoundPause) {
		view, known := s.views.View(shard)
		if known {
			var nodes []string
			if nodes, lastErr = s.round(ctx, view, act, first(view), log); lastErr == nil {
				return performers{shard: shard, epoch: view.Epoch, nodes: nodes}, nil
			}
		}
		if sleep.For(ctx, pause) != nil {
			return performers{}, log.fail(lastErr)
		}
	}
}

// orderByPreference returns the members in the order in which requests are sent to them:
// members that failed recently last, and otherwise members of this node's zone first,
// since traffic between zones is expensive.
func (s *Store) orderByPreference(members []register.Member) []register.Member {
	ordered := slices.Clone(members)
	slices.SortStableFunc(ordered, func(a, b register.Member) int {
		return cmp.Or(s.hedging.Tracker.Compare(a.Address, b.Address), zoneDistance(a, s.zone)-zoneDistance(b, s.zone))
	})
	return ordered
}

// zoneDistance returns 0 for a member of the zone and 1 for others.
func zoneDistance(member register.Member, zone string) int {
	if member.Zone == zone {
		return 0
	}
	return 1
}
