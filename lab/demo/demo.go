// Package demo runs the whole path in one process: an object API, two engines,
// three nodes in three zones, and a program of three dependent turns, each sent
// to another node.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/marblering/marblering/lab/deployment"
)

const (
	zoneCount    = 3
	engineCount  = 2
	shardCount   = 8
	engineSeed   = 1
	budgetTokens = 20000
	startTimeout = 30 * time.Second
)

// turns are the user's messages; each depends on the answer before it.
var turns = []string{
	"Which of the three pumps reported an error last night?",
	"Group the errors of that pump by cause.",
	"Draft a ticket for the most frequent cause.",
}

// Run starts the system, runs the program and prints each turn.
func Run(ctx context.Context, out io.Writer, logger *zap.Logger) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	started, err := deployment.Start(ctx, deployment.Options{
		Zones: zoneCount, Nodes: zoneCount, Engines: engineCount, Shards: shardCount,
		Seed: engineSeed, TimeScale: 1, Logger: logger,
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, started.Close()) }()
	return converse(ctx, out, started)
}

// post sends a JSON request to one node and decodes the answer.
func post(ctx context.Context, url string, body, answer any) (http.Header, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+deployment.APIKey)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 != 2 {
		return nil, merry.Errorf("POST %s: %s: %s", url, response.Status, bytes.TrimSpace(content))
	}
	return response.Header, json.Unmarshal(content, answer)
}
