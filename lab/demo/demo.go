// Package demo runs the whole path in one process: an object API, two engines,
// three nodes in three zones, and a program of three dependent turns, each sent
// to another node.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/node"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/protocol/callerapi/client"
)

// The system of the demo.
const (
	zoneCount   = 3
	engineCount = 2
	shardCount  = 8
	engineSeed  = 1
)

// budgetTokens is the program's budget, which its turns stay far below.
const budgetTokens = 20000

// timeout bounds the whole demo.
const timeout = 30 * time.Second

// turns are the user's messages; each depends on the answer before it.
var turns = []string{
	"Which of the three pumps reported an error last night?",
	"Group the errors of that pump by cause.",
	"Draft a ticket for the most frequent cause.",
}

// Run starts the system, runs the program and prints each turn.
func Run(ctx context.Context, out io.Writer, logger *zap.Logger) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started, err := deployment.Start(ctx, deployment.Options{
		Zones: zoneCount, Nodes: zoneCount, Engines: engineCount, Shards: shardCount,
		Seed: engineSeed, TimeScale: 1, Logger: logger,
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, started.Close()) }()
	return converse(ctx, out, started.Nodes)
}

// converse creates a program and runs its turns, each through another node. The
// caller sends its new message only; the system adds the history.
func converse(ctx context.Context, out io.Writer, nodes []*node.Node) error {
	created, err := clientOf(nodes[0]).CreateProgram(ctx, client.ProgramSpec{Model: deployment.ModelName, BudgetTokens: budgetTokens}, "")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "program %s with a budget of %d tokens\n", created.ID, created.BudgetTokens)
	for index, text := range turns {
		serving := nodes[index%len(nodes)]
		answer, err := clientOf(serving).Call(ctx, client.Call{
			Program: created.ID, Messages: []callerapi.Message{{Role: "user", Content: text}},
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "\nturn %d at %s\n  user:      %s\n  assistant: %s\n", index+1, serving.Name(), text, answer.Content)
		fmt.Fprintf(out, "  served by %s (prompt %d tokens, %d of them cached; answer %d tokens)\n", answer.Engine,
			answer.Usage.PromptTokens, answer.Usage.PromptTokensDetails.CachedTokens, answer.Usage.CompletionTokens)
		for _, explained := range serving.Explain(created.ID) {
			fmt.Fprintf(out, "  why: %s\n", explained.Decision.Reason)
		}
	}
	return nil
}

func clientOf(at *node.Node) *client.Client {
	return client.New("http://"+at.CallerAddress(), deployment.APIKey, http.DefaultClient)
}
