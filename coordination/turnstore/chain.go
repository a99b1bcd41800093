package turnstore

import (
	"context"
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// maxConcurrentAncestors limits the concurrent requests that store the missing ancestors of
// one turn at one member.
const maxConcurrentAncestors = 32

// encode returns the stored form of a turn.
func (s *Store) encode(retained *statev1.RetainedTurn) (replica.Turn, error) {
	object, digest, err := s.codec.Encode(retained)
	if err != nil {
		return replica.Turn{}, err
	}
	return replica.Turn{Program: retained.GetId(), Sequence: turnSequence, Digest: digest, Object: object}, nil
}

// putAncestors stores those of the ancestors at the member that it lacks according to its
// reply to the turn. It returns the reply, or the first refusal of an ancestor.
func (s *Store) putAncestors(ctx context.Context, member register.Member, fence register.Fence, reply archive.Reply, ancestors []*statev1.RetainedTurn) (archive.Reply, error) {
	if len(reply.Missing) == 0 {
		return reply, nil
	}
	missing, err := selectTurns(ancestors, reply.Missing)
	if err != nil {
		return reply, err
	}
	refusal := firstRefusal{reply: reply}
	puts, ctx := errgroup.WithContext(ctx)
	puts.SetLimit(maxConcurrentAncestors)
	for _, ancestor := range missing {
		puts.Go(func() error {
			stored, err := s.encode(ancestor)
			if err != nil {
				return err
			}
			answer, err := s.replicas.PutTurn(ctx, member, fence, stored)
			refusal.record(answer)
			return err
		})
	}
	err = puts.Wait()
	return refusal.reply, merry.Prepend(err, "storing ancestors")
}

// selectTurns returns those of the turns that have one of the ids.
func selectTurns(turns []*statev1.RetainedTurn, ids []string) ([]*statev1.RetainedTurn, error) {
	selected := make([]*statev1.RetainedTurn, len(ids))
	for position, id := range ids {
		index := slices.IndexFunc(turns, func(turn *statev1.RetainedTurn) bool { return turn.GetId() == id })
		if index < 0 {
			return nil, merry.Prependf(errUnusable, "the member lacks turn %q, which isn't a known ancestor", id)
		}
		selected[position] = turns[index]
	}
	return selected, nil
}

// firstRefusal keeps the first refusal among several replies. It is safe for concurrent use.
type firstRefusal struct {
	mutex sync.Mutex
	reply archive.Reply
}

func (f *firstRefusal) record(answer archive.Reply) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.reply.Refusal == register.RefusalNone && answer.Refusal != register.RefusalNone {
		f.reply = answer
	}
}
