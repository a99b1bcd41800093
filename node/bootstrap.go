package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/repair"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/protocol/objectapi"
)

const (
	// bootstrapPause is the pause between two looks at the members.
	bootstrapPause = 200 * time.Millisecond
	// createPause is the pause after a try to create the shard map. In it the map comes
	// back to this node, or the object API recovers.
	createPause = 2 * time.Second
	// settleRounds is how many looks in a row must show the same members before the first
	// shard map is made of them, so that all nodes of a deployment that starts at once
	// take part.
	settleRounds = 5
)

// bootstrap creates the first shard map where there is none, and gives the stored
// one to the map of this node. Every node runs it; the object API creates an
// object only once, so that one node wins. It is a suture service.
type bootstrap struct {
	platform *objectapi.Client
	holder   *configuration.Holder
	members  func() *membership.Members
	views    *shard.Map
	// shards and replicationFactor are those of the shard map to create.
	shards            uint32
	replicationFactor int
	// timeout bounds one try to create the shard map.
	timeout time.Duration
	logger  *zap.Logger
	// reported is the outcome that was logged last.
	reported string
}

// Serve waits for the shard map or creates it, and then for the context's end.
func (b *bootstrap) Serve(ctx context.Context) error {
	var lastMembers string
	same := 0
	for ctx.Err() == nil {
		changed := b.holder.Changed()
		if stored, found := b.holder.Current().ShardMap(); found {
			b.learn(stored)
			<-ctx.Done()
			return ctx.Err()
		}
		candidates := b.candidates()
		if names := namesOf(candidates); names == lastMembers {
			same++
		} else {
			lastMembers, same = names, 0
		}
		pause := bootstrapPause
		if len(candidates) >= b.replicationFactor && same >= settleRounds {
			b.create(ctx, candidates)
			pause = createPause
		}
		waitForChange(ctx, changed, pause)
	}
	return ctx.Err()
}

func (b *bootstrap) candidates() []shard.Candidate {
	var candidates []shard.Candidate
	for _, member := range b.members().Live() {
		if member.Leaving {
			continue
		}
		candidates = append(candidates, shard.Candidate{
			Member:        repair.RegisterMember(member),
			HasDataFolder: member.HasDataFolder,
		})
	}
	return candidates
}

func namesOf(candidates []shard.Candidate) string {
	names := ""
	for _, candidate := range candidates {
		names += candidate.Member.Incarnation + " "
	}
	return names
}

// create writes the first shard map unless another node has.
func (b *bootstrap) create(ctx context.Context, candidates []shard.Candidate) {
	body, err := b.shardMap(candidates)
	if err != nil {
		b.logger.Error("shard map not made", zap.Error(err))
		return
	}
	createContext, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	_, err = b.platform.PutWithRetry(createContext, string(configuration.KindShardMap), configuration.SingletonName, objectapi.IfAbsent(), body)
	var conflict *objectapi.ConflictError
	switch {
	case err == nil:
		b.report("shard map created", zap.Uint32("shards", b.shards), zap.Int("nodes", len(candidates)))
	case errors.As(err, &conflict):
		b.report("shard map was created by another node")
	default:
		b.report("shard map not created", zap.Error(err))
	}
}

// report logs an outcome unless it is the same as the one before.
func (b *bootstrap) report(outcome string, fields ...zap.Field) {
	if outcome == b.reported {
		return
	}
	b.reported = outcome
	b.logger.Info(outcome, fields...)
}

// waitForChange returns when the channel is closed, after the pause, or when the
// context ends.
func waitForChange(ctx context.Context, changed <-chan struct{}, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (b *bootstrap) shardMap(candidates []shard.Candidate) (json.RawMessage, error) {
	stored := configuration.ShardMap{
		Header: configuration.Header{
			WrittenBy: &configuration.WrittenBy{CommandID: uuid.NewString(), Operator: "bootstrap"},
		},
		ShardCount:        b.shards,
		ReplicationFactor: uint32(b.replicationFactor),
	}
	for _, assigned := range shard.AssignAll(b.shards, b.replicationFactor, candidates) {
		var members []configuration.Member
		for _, member := range assigned {
			members = append(members, configuration.Member(member))
		}
		stored.Members = append(stored.Members, members)
	}
	body, err := json.Marshal(stored)
	return body, merry.Prepend(err, "encoding the shard map")
}

// learn gives the stored views to the node's map. Where the map has a view of a
// later epoch, that stays.
func (b *bootstrap) learn(stored *configuration.ShardMap) {
	for number, members := range stored.Members {
		view := register.View{Shard: uint32(number), Epoch: shard.FirstEpoch}
		for _, member := range members {
			view.Members = append(view.Members, register.Member(member))
		}
		b.views.Learn(view)
	}
}
