package tokenbudget_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/test/bubble"
)

// TestEndIsToldToHostThatReturns guards against a program that is charged with the most of a
// turn, and refused for good, though its gateway knows what the turn has generated and its host
// returns before the turn's time is over.
func TestEndIsToldToHostThatReturns(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		shared := newSharedRegister()
		transport, views := newNetwork(shared, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = transport.hosts["host0"].Serve(ctx) }()
		client := newClient(transport, views)
		turn := tokenbudget.Reservation{Program: "p", Name: "first", ProgramLimit: 900, MaxTokens: 900, Lifetime: 10 * time.Second}
		assert.NilError(t, client.Reserve(t.Context(), turn))
		transport.mutex.Lock()
		transport.down["host0"] = true
		transport.mutex.Unlock()
		client.End(tokenbudget.EndedTurn{Program: "p", Reservation: "first", TokensUsed: 40})
		time.Sleep(4 * time.Second)
		transport.mutex.Lock()
		transport.down["host0"] = false
		transport.mutex.Unlock()
		time.Sleep(20 * time.Second)
		next := tokenbudget.Reservation{Program: "p", Name: "next", ProgramLimit: 900, MaxTokens: 100, Lifetime: 10 * time.Second}
		assert.NilError(t, client.Reserve(t.Context(), next), "40 of 900 tokens were generated")
		cancel()
		client.End(tokenbudget.EndedTurn{Program: "p", Reservation: "next"})
		time.Sleep(time.Minute)
	})
}
