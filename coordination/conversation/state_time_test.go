package conversation_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/turnstore"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/test/bubble"
)

// slowTurnStore are turns of which nothing is kept, which takes a while to find out.
type slowTurnStore struct{ takes time.Duration }

func (slowTurnStore) Put(context.Context, string, *statev1.RetainedTurn) error { return nil }

func (s slowTurnStore) Line(ctx context.Context, _, _ string) ([]*statev1.RetainedTurn, error) {
	select {
	case <-time.After(s.takes):
		return nil, turnstore.ErrUnknown
	case <-ctx.Done():
		return nil, turnstore.ErrUnavailable
	}
}

// TestBeginWaitsForSlowState: a request that goes on from a turn that isn't kept has 2.5 s,
// and four requests to members that take 0.25 s each tell so. It was refused with 503
// after 0.8 s ("too few replicas answered: context deadline exceeded", took=0.80 s,
// allowed=2.5 s), though it could be answered. A request that has little time isn't held
// for all of it.
func TestBeginWaitsForSlowState(t *testing.T) {
	for _, c := range []struct {
		takes, has, held time.Duration
		code             result.Code
	}{
		{time.Second, 2500 * time.Millisecond, time.Second, result.UnknownTurn},
		{2 * time.Second, 2500 * time.Millisecond, 1250 * time.Millisecond, result.HistoryUnavailable},
		{time.Second, 1200 * time.Millisecond, 800 * time.Millisecond, result.HistoryUnavailable},
	} {
		bubble.Test(t, func(t *testing.T) {
			never := func() bool { return false }
			service := conversation.New(slowTurnStore{c.takes}, nil, never, time.Now, nil, zap.NewNop())
			ctx, cancel := context.WithTimeout(t.Context(), c.has)
			defer cancel()
			began := time.Now()
			_, refusal := service.Begin(ctx, conversation.Request{ID: "t", Program: "p", Previous: "none", Retained: true})
			assert.Equal(t, refusal.Code, c.code)
			assert.Equal(t, time.Since(began), c.held)
		})
	}
}
