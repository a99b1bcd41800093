package turnstore

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// roundPause is the pause between the first two rounds. It doubles with each round
	// up to longestPause. While a replica set changes, no round succeeds, and the
	// requests that members refuse keep nodes busy that carry out the change: with
	// 30 ms between all rounds 8,249 copies of turns were sent in two seconds in which
	// 1,600 are usual (counted in the logs of a simulated deployment).
	roundPause = 30 * time.Millisecond
	// longestPause was chosen, not measured.
	longestPause = 200 * time.Millisecond
)

// fanOut says how many members of a view are asked at first.
type fanOut func(view register.View) int

// quorumFirst suits writes, which need a quorum, and reads that likely find nothing, which
// only a quorum can say.
func quorumFirst(view register.View) int { return view.Quorum() }

// nearestOnly suits reads, of which one answer mostly suffices.
func nearestOnly(register.View) int { return 1 }

// untilQuorum repeats rounds until a quorum grants the action, one answer suffices, or
// the context ends. Then it returns ErrUnavailable with the last round's error.
func (s *Store) untilQuorum(ctx context.Context, shard uint32, act action, first fanOut) error {
	last := error(ErrUnavailable)
	for pause := roundPause; ; pause = min(2*pause, longestPause) {
		view, known := s.views.View(shard)
		if known {
			if last = s.round(ctx, view, act, first(view)); last == nil {
				return nil
			}
		}
		if sleep.For(ctx, pause) != nil {
			return merry.Wrap(ErrUnavailable, merry.WithCause(last), merry.AppendMessagef("%v", last))
		}
	}
}

// preferred returns the members in the order in which they are asked: those that
// failed lately last, and among the others those of this node's zone first, since
// traffic between zones is dear.
func (s *Store) preferred(members []register.Member) []register.Member {
	ordered := slices.Clone(members)
	slices.SortStableFunc(ordered, func(a, b register.Member) int {
		return cmp.Or(s.hedging.Reach.Compare(a.Address, b.Address), distance(a, s.zone)-distance(b, s.zone))
	})
	return ordered
}

func distance(member register.Member, zone string) int {
	if member.Zone == zone {
		return 0
	}
	return 1
}
