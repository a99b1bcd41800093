package quota

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/test/bubble"
)

// reserveOnly holds the reserve slot since now; the main slots have no holder.
type reserveOnly struct {
	reserve uint32
	account *account
}

func (r *reserveOnly) TakePermits(_ context.Context, _ string, ask PermitRequest) (PermitAnswer, error) {
	if ask.Share.Slot != r.reserve {
		return NotHolder{}, nil
	}
	if r.account == nil {
		r.account = newAccount(ask.Share.Rate, time.Now())
	}
	return r.account.take(ask, time.Now()), nil
}

func (*reserveOnly) View(shard uint32) (register.View, bool) {
	return register.View{Shard: shard, Epoch: 1, Members: []register.Member{{Node: "a", Address: "a"}}}, true
}
func (*reserveOnly) Shards() uint32 { return 8 }

// TestVacantMainSlotIsNoUsedQuota guards against a tenant that is told to be over its quota while
// the holder of its main slot is lost and the reserve slot has just been taken.
func TestVacantMainSlotIsNoUsedQuota(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		bounds := Tolerance{Window: 5 * time.Second, Fraction: 0.1, Slack: 20}
		rate := limit.Rate{TokensPerSecond: 12, Burst: 12}
		holders := &reserveOnly{reserve: bounds.Plan("north", rate, 8).Reserve.Slot}
		client := NewClient(holders, holders, reach.New(time.Now), bounds, NewMetrics(prometheus.NewRegistry()), time.Now, zap.NewNop())
		_, failure := client.Take(t.Context(), Request{Tenant: "north", Rate: rate})
		assert.Assert(t, failure != nil)
		assert.Equal(t, failure.Code, result.QuotaUnavailable, "%v", failure)
	})
}
