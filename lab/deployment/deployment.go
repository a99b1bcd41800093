// Package deployment starts a whole system in one process on loopback: an
// object API, engines and nodes. The demo and tests use it.
package deployment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
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

// Names of the objects that every deployment has.
const (
	ModelName  = "model-1"
	PoolName   = "pool-1"
	TenantName = "tenant-1"
	// APIKey is the key of the tenant.
	APIKey = "key-1"
)

const (
	// loopback is a free port of this machine.
	loopback = "127.0.0.1:0"
	// readyPause is the time between two questions whether a node is ready.
	readyPause = 50 * time.Millisecond
	// modelContext and modelOutput are the model's longest context and the
	// default length of its answers, in tokens.
	modelContext = 400000
	modelOutput  = 64
	// maxSeeds is how many of the first nodes the others are told of.
	maxSeeds = 3
)

// Options describe a deployment.
type Options struct {
	Zones   int
	Nodes   int
	Engines int
	Shards  int
	Seed    uint64
	// TimeScale is how many seconds of an engine pass in one real second.
	TimeScale float64
	// TenantLimits are those of TenantName.
	TenantLimits configuration.TenantLimits
	// Limits hold for all tenants; nil writes no object, so that the defaults
	// hold.
	Limits *configuration.Limits
	// NodeSettings changes the settings of each node before it starts; nil keeps them.
	NodeSettings func(*settings.Settings)
	Logger       *zap.Logger
}

// Deployment is a running system.
type Deployment struct {
	Platform string
	// EngineAddresses are the base URLs of the engines.
	EngineAddresses []string
	Engines         []*engine.Server
	Nodes           []*node.Node

	options  Options
	shutdown []func() error
}

// Start starts the system and waits until every node is ready. On an error
// nothing is left running.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	d := &Deployment{options: options}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	d.Platform = d.serve(objectstore.New(objectstore.Options{Seed: d.options.Seed})).URL
	for index := range d.options.Engines {
		stand := engine.New(engine.Options{
			Name:      engineName(index),
			Zone:      d.zone(index),
			Models:    []string{ModelName},
			Seed:      d.options.Seed,
			TimeScale: d.options.TimeScale,
		})
		d.shutdown = append(d.shutdown, func() error { stand.Close(); return nil })
		d.Engines = append(d.Engines, stand)
		d.EngineAddresses = append(d.EngineAddresses, d.serve(stand).URL)
	}
	if err := d.configure(ctx); err != nil {
		return err
	}
	return d.startNodes(ctx)
}

// serve listens on loopback; the server is closed before what was started
// ahead of it.
func (d *Deployment) serve(handler http.Handler) *httptest.Server {
	server := httptest.NewServer(handler)
	d.shutdown = append(d.shutdown, func() error {
		server.CloseClientConnections()
		server.Close()
		return nil
	})
	return server
}

// engineName names the engine of the index, counted from zero.
func engineName(index int) string { return fmt.Sprintf("engine-%d", index+1) }

func (d *Deployment) zone(index int) string { return fmt.Sprintf("zone-%d", index%d.options.Zones+1) }

// configure writes the objects that the nodes need.
func (d *Deployment) configure(ctx context.Context) error {
	digest := sha256.Sum256([]byte(APIKey))
	var zones []string
	for index := range d.options.Zones {
		zones = append(zones, d.zone(index))
	}
	err := errors.Join(
		d.put(ctx, configuration.KindModel, ModelName, configuration.Model{
			ContextTokens: modelContext, DefaultMaxTokens: modelOutput,
		}),
		d.put(ctx, configuration.KindTenant, TenantName, configuration.Tenant{
			APIKeySHA256: []string{hex.EncodeToString(digest[:])}, Weight: 1, Limits: d.options.TenantLimits,
		}),
		d.put(ctx, configuration.KindPool, PoolName, configuration.Pool{
			Zones: zones, Models: []string{ModelName}, Roles: []configuration.Role{configuration.RoleMixed},
		}),
	)
	if d.options.Limits != nil {
		err = errors.Join(err, d.put(ctx, configuration.KindLimits, configuration.SingletonName, d.options.Limits))
	}
	for index, address := range d.EngineAddresses {
		err = errors.Join(err, d.put(ctx, configuration.KindEngine, engineName(index), configuration.Engine{
			Address: address, Zone: d.zone(index), Generation: engine.DefaultGeneration, Pool: PoolName,
			Models: []string{ModelName}, Role: configuration.RoleMixed,
		}))
	}
	return err
}

func (d *Deployment) put(ctx context.Context, kind configuration.Kind, name string, body any) error {
	_, err := d.write(ctx, kind, name, objectapi.IfAbsent(), body)
	return err
}

// Replace writes a new body of an object that exists and returns the version
// that a node's configuration must reach for it to be in force there.
func (d *Deployment) Replace(ctx context.Context, kind configuration.Kind, name string, body any) (version uint64, err error) {
	client := objectapi.NewClient(d.Platform, http.DefaultClient)
	current, err := client.Get(ctx, string(kind), name)
	if err != nil {
		return 0, merry.Prependf(err, "reading %s %s", kind, name)
	}
	return d.write(ctx, kind, name, objectapi.IfVersion(current.Version), body)
}

func (d *Deployment) write(ctx context.Context, kind configuration.Kind, name string, condition objectapi.Condition, body any) (version uint64, err error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, merry.Prependf(err, "encoding %s %s", kind, name)
	}
	client := objectapi.NewClient(d.Platform, http.DefaultClient)
	written, err := client.Put(ctx, string(kind), name, condition, encoded)
	if err != nil {
		return 0, merry.Prependf(err, "writing %s %s", kind, name)
	}
	return written.Version, nil
}

func (d *Deployment) startNodes(ctx context.Context) error {
	for index := range d.options.Nodes {
		if err := ctx.Err(); err != nil {
			return merry.Prependf(err, "starting node %d", index+1)
		}
		loaded, err := d.nodeSettings(index)
		if err != nil {
			return err
		}
		if d.options.NodeSettings != nil {
			d.options.NodeSettings(&loaded)
		}
		started, err := node.Start(loaded, d.options.Logger.With(zap.String("node", loaded.Name)))
		if err != nil {
			return merry.Prependf(err, "starting %s", loaded.Name)
		}
		d.Nodes = append(d.Nodes, started)
		d.shutdown = append(d.shutdown, started.Close)
	}
	for _, started := range d.Nodes {
		if err := awaitReady(ctx, started.OperatorAddress()); err != nil {
			return err
		}
	}
	return nil
}

// nodeSettings are those of one node.
func (d *Deployment) nodeSettings(index int) (settings.Settings, error) {
	arguments := []string{
		"--name", fmt.Sprintf("node-%d", index+1),
		"--zone", d.zone(index),
		"--object-api", d.Platform,
		"--shards", fmt.Sprint(d.options.Shards),
	}
	var seeds []string
	for _, started := range d.Nodes[:min(maxSeeds, len(d.Nodes))] {
		seeds = append(seeds, started.PeerAddress())
	}
	if len(seeds) > 0 {
		arguments = append(arguments, "--seeds", strings.Join(seeds, ","))
	}
	return Settings(arguments...)
}

// Settings are those of a node with the flags, which listens on free ports of
// loopback where they don't say otherwise.
func Settings(arguments ...string) (settings.Settings, error) {
	flags := pflag.NewFlagSet("node", pflag.ContinueOnError)
	settings.AddFlags(flags)
	listeners := []string{
		"--peer-listen", loopback,
		"--caller-listen", loopback,
		"--operator-listen", loopback,
	}
	if err := flags.Parse(append(listeners, arguments...)); err != nil {
		return settings.Settings{}, err
	}
	return settings.Load("", flags)
}

func awaitReady(ctx context.Context, address string) error {
	for {
		if ready(ctx, address) {
			return nil
		}
		select {
		case <-time.After(readyPause):
		case <-ctx.Done():
			return merry.Prependf(ctx.Err(), "waiting for the node at %s", address)
		}
	}
}

func ready(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close stops everything in the reverse order of its start.
func (d *Deployment) Close() error {
	var failures []error
	for index := len(d.shutdown) - 1; index >= 0; index-- {
		failures = append(failures, d.shutdown[index]())
	}
	d.shutdown = nil
	return errors.Join(failures...)
}
