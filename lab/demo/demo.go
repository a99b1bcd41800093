// Package demo runs the whole path in one process: an object API, two engines,
// three nodes in three zones, and a program of three dependent turns, each sent
// to another node.
package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/pflag"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/lab/objectstore"
	"github.com/marblering/marblering/node"
	"github.com/marblering/marblering/protocol/objectapi"
	"github.com/marblering/marblering/settings"
)

const (
	loopback     = "127.0.0.1:0"
	apiKey       = "demo-key"
	tenantName   = "demo"
	modelName    = "demo-model"
	poolName     = "demo-pool"
	nodeCount    = 3
	engineCount  = 2
	engineSeed   = 1
	budgetTokens = 20000
	readyPause   = 50 * time.Millisecond
	startTimeout = 30 * time.Second
)

// turns are the user's messages; each depends on the answer before it.
var turns = []string{
	"Which of the three pumps reported an error last night?",
	"Group the errors of that pump by cause.",
	"Draft a ticket for the most frequent cause.",
}

// system is everything the demo starts.
type system struct {
	store    *httptest.Server
	engines  []*httptest.Server
	nodes    []*node.Node
	shutdown []func() error
}

// Run starts the system, runs the program and prints each turn.
func Run(ctx context.Context, out io.Writer, logger *zap.Logger) (err error) {
	s := &system{}
	defer func() { err = errors.Join(err, s.close()) }()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.start(ctx, logger); err != nil {
		return err
	}
	return s.converse(ctx, out)
}

func (s *system) start(ctx context.Context, logger *zap.Logger) error {
	s.store = serve(s, objectstore.New(objectstore.Options{}))
	for index := range engineCount {
		stand := engine.New(engine.Options{
			Name:       engineName(index),
			Generation: engine.DefaultGeneration,
			Zone:       zoneName(index),
			Models:     []string{modelName},
			Seed:       engineSeed,
		})
		s.engines = append(s.engines, serve(s, stand))
		s.shutdown = append(s.shutdown, func() error { stand.Close(); return nil })
	}
	if err := s.configure(ctx); err != nil {
		return err
	}
	return s.startNodes(ctx, logger)
}

func serve(s *system, handler http.Handler) *httptest.Server {
	server := httptest.NewServer(handler)
	s.shutdown = append(s.shutdown, func() error { server.CloseClientConnections(); server.Close(); return nil })
	return server
}

func engineName(index int) string { return fmt.Sprintf("engine-%d", index+1) }
func zoneName(index int) string   { return fmt.Sprintf("zone-%d", index+1) }

// configure writes the objects that the nodes need.
func (s *system) configure(ctx context.Context) error {
	client := objectapi.NewClient(s.store.URL, http.DefaultClient)
	digest := sha256.Sum256([]byte(apiKey))
	objects := []struct {
		kind configuration.Kind
		name string
		body any
	}{
		{configuration.KindModel, modelName, configuration.Model{ContextTokens: 8192, DefaultMaxTokens: 64}},
		{configuration.KindTenant, tenantName, configuration.Tenant{APIKeySHA256: []string{hex.EncodeToString(digest[:])}, Weight: 1}},
		{configuration.KindPool, poolName, configuration.Pool{
			Zones: []string{zoneName(0), zoneName(1), zoneName(2)}, Models: []string{modelName},
			Roles: []configuration.Role{configuration.RoleMixed},
		}},
	}
	for _, object := range objects {
		if err := put(ctx, client, object.kind, object.name, object.body); err != nil {
			return err
		}
	}
	for index, server := range s.engines {
		err := put(ctx, client, configuration.KindEngine, engineName(index), configuration.Engine{
			Address: server.URL, Zone: zoneName(index), Generation: engine.DefaultGeneration, Pool: poolName,
			Models: []string{modelName}, Role: configuration.RoleMixed,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func put(ctx context.Context, client *objectapi.Client, kind configuration.Kind, name string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return merry.Prependf(err, "encoding %s %s", kind, name)
	}
	_, err = client.Put(ctx, string(kind), name, objectapi.IfAbsent(), encoded)
	return merry.Prependf(err, "writing %s %s", kind, name)
}

func (s *system) startNodes(ctx context.Context, logger *zap.Logger) error {
	var seeds []string
	for index := range nodeCount {
		loaded, err := nodeSettings(index, s.store.URL, seeds)
		if err != nil {
			return err
		}
		started, err := node.Start(loaded, logger.With(zap.String("node", loaded.Name)))
		if err != nil {
			return merry.Prependf(err, "starting %s", loaded.Name)
		}
		s.nodes = append(s.nodes, started)
		s.shutdown = append(s.shutdown, started.Drain)
		seeds = append(seeds, started.PeerAddress())
	}
	for _, started := range s.nodes {
		if err := awaitReady(ctx, started.OperatorAddress()); err != nil {
			return err
		}
	}
	return nil
}

// nodeSettings are those of one node, as flags would give them.
func nodeSettings(index int, objectAPI string, seeds []string) (settings.Settings, error) {
	flags := pflag.NewFlagSet("node", pflag.ContinueOnError)
	settings.AddFlags(flags)
	arguments := []string{
		"--name", fmt.Sprintf("node-%d", index+1),
		"--zone", zoneName(index),
		"--peer-listen", loopback,
		"--caller-listen", loopback,
		"--operator-listen", loopback,
		"--object-api", objectAPI,
		"--shards", "8",
	}
	if len(seeds) > 0 {
		arguments = append(arguments, "--seeds", strings.Join(seeds, ","))
	}
	if err := flags.Parse(arguments); err != nil {
		return settings.Settings{}, err
	}
	return settings.Load("", flags)
}

func awaitReady(ctx context.Context, address string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			status := response.StatusCode
			_ = response.Body.Close()
			if status == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(readyPause):
		case <-ctx.Done():
			return merry.Prependf(ctx.Err(), "waiting for the node at %s", address)
		}
	}
}

func (s *system) close() error {
	var failures []error
	for index := len(s.shutdown) - 1; index >= 0; index-- {
		failures = append(failures, s.shutdown[index]())
	}
	return errors.Join(failures...)
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
	request.Header.Set("Authorization", "Bearer "+apiKey)
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
