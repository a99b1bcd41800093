package turnstore_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/coordination/turnstore"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/test/bubble"
)

// TestUnknownTurnNamesWhoAnswered guards against a turn that is refused as unknown, or
// because its shard can't be read, while no log tells which members answered in which epoch.
func TestUnknownTurnNamesWhoAnswered(t *testing.T) {
	m, v := newMembers(2)
	reader := newStore(t, "z1", m, v)
	var unknown, unavailable error
	bubble.Test(t, func(*testing.T) {
		m.down["m2"] = true
		_, unknown = reader.History(context.Background(), "p", "never")
		m.down["m1"] = true
		_, unavailable = reader.History(context.Background(), "p", "never")
	})
	assert.ErrorIs(t, unknown, turnstore.ErrTurnNotFound)
	assert.Assert(t, is.Regexp("shard 0 epoch 1: (m0 m1|m1 m0)", unknown.Error()))
	assert.Assert(t, is.Regexp("shard 1 epoch 1: (m0 m1|m1 m0)", unknown.Error()))
	assert.ErrorIs(t, unavailable, turnstore.ErrNoQuorum)
	assert.ErrorContains(t, unavailable, ", epoch 1 of shard")
	assert.ErrorContains(t, unavailable, "member m")
}

// answers maps the names of members to their answers.
type answers map[string]archive.Reply

func (a answers) PutTurn(_ context.Context, member register.Member, _ register.Fence, _ replica.Turn) (archive.Reply, error) {
	reply, found := a[member.Node]
	if !found {
		return archive.Reply{}, errDown
	}
	return reply, nil
}

func (a answers) ReadMany(ctx context.Context, member register.Member, fence register.Fence, _ []string) ([]replica.Turn, archive.Reply, error) {
	reply, err := a.PutTurn(ctx, member, fence, replica.Turn{})
	return nil, reply, err
}

// TestNoQuorumNamesEachMembersAnswer guards against a refused turn of which only one member's
// error is known: a set with a whole, a lost and a copying member couldn't be told from one
// that nobody answers for.
func TestNoQuorumNamesEachMembersAnswer(t *testing.T) {
	_, v := newMembers(1)
	replicas := answers{"m0": {}, "m2": {Refusal: register.RefusalNotReady}}
	store, err := turnstore.New("z0", replicas, v, reach.New(time.Now), 1<<20)
	assert.NilError(t, err)
	var put, read error
	bubble.Test(t, func(*testing.T) {
		ctx, cancel := shortContext()
		defer cancel()
		put = store.Put(ctx, "p", &statev1.RetainedTurn{Id: "a"}, nil)
		_, read = store.History(context.Background(), "p", "never")
	})
	for _, failed := range []error{put, read} {
		assert.ErrorIs(t, failed, turnstore.ErrNoQuorum)
		var failure *turnstore.NoQuorumError
		assert.Assert(t, errors.As(failed, &failure))
		assert.Equal(t, failure.Epoch, uint64(1))
		assert.Assert(t, failure.Rounds > 1 && failure.Tried >= 200*time.Millisecond, "%d rounds in %s", failure.Rounds, failure.Tried)
		assert.DeepEqual(t, failure.MemberTexts(), []string{"m0 done", "m1 no_answer: no answer", "m2 not_ready: refused: not ready"})
		assert.DeepEqual(t, failure.Reasons(), []turnstore.Reason{turnstore.ReasonNoAnswer, "not_ready"})
	}
}

// TestNoQuorumTellsSilentMembers guards against members that never answered and are taken for
// ones that weren't asked.
func TestNoQuorumTellsSilentMembers(t *testing.T) {
	m, v := newMembers(1)
	m.answerDelay = time.Second
	var failed error
	bubble.Test(t, func(*testing.T) {
		store := newStore(t, "z0", m, v)
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		failed = store.Put(ctx, "p", &statev1.RetainedTurn{Id: "a"}, nil)
		time.Sleep(2 * m.answerDelay)
	})
	var failure *turnstore.NoQuorumError
	assert.Assert(t, errors.As(failed, &failure))
	assert.DeepEqual(t, failure.Reasons(), []turnstore.Reason{turnstore.ReasonNoAnswer, turnstore.ReasonNoAnswer, turnstore.ReasonNotAsked})
}

// TestNoQuorumTellsThatNoViewIsKnown checks the error for a shard without a known view.
func TestNoQuorumTellsThatNoViewIsKnown(t *testing.T) {
	m, _ := newMembers(1)
	var failed error
	bubble.Test(t, func(*testing.T) {
		store := newStore(t, "z0", m, views{shard.NewMap(1)})
		ctx, cancel := shortContext()
		defer cancel()
		failed = store.Put(ctx, "p", &statev1.RetainedTurn{Id: "a"}, nil)
	})
	var failure *turnstore.NoQuorumError
	assert.Assert(t, errors.As(failed, &failure))
	assert.DeepEqual(t, failure.Reasons(), []turnstore.Reason{turnstore.ReasonNoView})
}
