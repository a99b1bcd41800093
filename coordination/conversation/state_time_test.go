package conversation_test

import (
	"context"
	"errors"
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

// slowTurnStore stores no turns and takes a while to say so.
type slowTurnStore struct{ delay time.Duration }

func (slowTurnStore) Put(context.Context, string, *statev1.RetainedTurn, []*statev1.RetainedTurn) error {
	return nil
}

func (s slowTurnStore) History(ctx context.Context, _, _ string) ([]*statev1.RetainedTurn, error) {
	select {
	case <-time.After(s.delay):
		return nil, turnstore.ErrTurnNotFound
	case <-ctx.Done():
		return nil, turnstore.ErrNoQuorum
	}
}

// TestBeginWaitsForSlowState checks that a slow answer is waited for as long as the request's
// time permits, and that a request with little time left isn't held for all of it.
func TestBeginWaitsForSlowState(t *testing.T) {
	for _, c := range []struct {
		storeDelay, requestTime, wantElapsed time.Duration
		code                                 result.Code
	}{
		{time.Second, 2500 * time.Millisecond, time.Second, result.UnknownTurn},
		{2 * time.Second, 2500 * time.Millisecond, 1250 * time.Millisecond, result.HistoryUnavailable},
		{time.Second, 1200 * time.Millisecond, 800 * time.Millisecond, result.HistoryUnavailable},
	} {
		bubble.Test(t, func(t *testing.T) {
			isCutOff := func() bool { return false }
			service := conversation.New(slowTurnStore{c.storeDelay}, nil, isCutOff, time.Now, nil, zap.NewNop())
			ctx, cancel := context.WithTimeout(t.Context(), c.requestTime)
			defer cancel()
			began := time.Now()
			_, refusal := service.Begin(ctx, conversation.Request{ID: "t", Program: "p", Previous: "none", Retained: true})
			assert.Equal(t, refusal.Code, c.code)
			assert.Equal(t, errors.Is(refusal.Cause, turnstore.ErrNoQuorum), c.code == result.HistoryUnavailable)
			assert.Equal(t, time.Since(began), c.wantElapsed)
		})
	}
}
