package antientropy

import (
	"context"
	"slices"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// round looks for lacking turns once.
type round struct {
	*Service
	views []register.View
	// failed are the errors of nodes that didn't answer, by address. They aren't asked again
	// in this round, since each might take the whole timeout of a request.
	failed map[string]error
}

// fetch looks for the turns at all members of all replica sets, those of the shard first,
// and stores the ones that it finds.
func (r *round) fetch(ctx context.Context, shard uint32, ids []string) {
	fence, isMember := r.ownFence(shard)
	// While the shard is copied to this node, its turns come in any order.
	if !isMember || r.options.Writer.CheckRequest(fence) != register.RefusalNone {
		return
	}
	missing := slices.Clone(ids)
	var lastErr error
	for _, source := range r.sources(shard) {
		if len(missing) == 0 {
			break
		}
		found, err := r.read(ctx, source, missing)
		if err == nil {
			err = r.store(ctx, fence, found)
		}
		if err != nil {
			lastErr = err
			continue
		}
		missing = slices.DeleteFunc(missing, func(id string) bool {
			return slices.ContainsFunc(found, func(turn replica.Turn) bool { return turn.Program == id })
		})
	}
	if lastErr == nil {
		r.recordNotFound(shard, missing)
	}
	r.options.Logger.Info("ancestors fetched", zap.Uint32("shard", shard), zap.Int("lacking", len(ids)),
		zap.Int("fetched", len(ids)-len(missing)), zap.Strings("not_found", missing), zap.Error(lastErr))
}

// ownFence returns the fence for writes of the shard at this node's replica. It is false if
// the replica isn't a member of the set.
func (r *round) ownFence(shard uint32) (register.Fence, bool) {
	for _, view := range r.views {
		if view.Shard == shard && slices.ContainsFunc(view.Members, r.isSelf) {
			return register.Fence{Shard: shard, Epoch: view.Epoch, Replica: r.options.Incarnation}, true
		}
	}
	return register.Fence{}, false
}

func (r *round) isSelf(member register.Member) bool {
	return member.Incarnation == r.options.Incarnation
}

// source is a member of a replica set that may have turns.
type source struct {
	view   register.View
	member register.Member
}

// sources returns the members of all replica sets, the other members of the shard first.
func (r *round) sources(shard uint32) []source {
	var ofShard, ofOthers []source
	for _, view := range r.views {
		for _, member := range view.Members {
			switch {
			case view.Shard != shard:
				ofOthers = append(ofOthers, source{view, member})
			case !r.isSelf(member):
				ofShard = append(ofShard, source{view, member})
			}
		}
	}
	return append(ofShard, ofOthers...)
}

// read returns those of the turns that the source has. A turn that can't be decoded is an
// error, since another source may have a valid copy.
func (r *round) read(ctx context.Context, from source, ids []string) ([]replica.Turn, error) {
	if err := r.failed[from.member.Address]; err != nil {
		return nil, err
	}
	fence := register.Fence{Shard: from.view.Shard, Epoch: from.view.Epoch, Replica: from.member.Incarnation}
	found, reply, err := r.options.Reader.ReadMany(ctx, from.member, fence, ids)
	if err != nil {
		r.failed[from.member.Address] = err
	}
	if err == nil && reply.Refusal != register.RefusalNone {
		err = merry.Errorf("refused: %s", reply.Refusal)
	}
	for _, stored := range found {
		if err == nil {
			_, err = r.codec.Decode(stored.Program, stored.Object, stored.Digest)
		}
	}
	if err != nil {
		return nil, merry.Prependf(err, "member %s, epoch %d of shard %d", from.member.Node, from.view.Epoch, from.view.Shard)
	}
	return found, nil
}

// store stores the turns in this node's replica.
func (r *round) store(ctx context.Context, fence register.Fence, turns []replica.Turn) error {
	for _, stored := range turns {
		if reply := r.options.Writer.PutTurn(ctx, fence, stored); reply.Refusal != register.RefusalNone {
			return merry.Errorf("storing turn %q: refused: %s", stored.Program, reply.Refusal)
		}
	}
	return nil
}
