package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/lab/objectstore"
	"github.com/marblering/marblering/lab/tool"
	"github.com/marblering/marblering/lab/weightstore"
	"github.com/marblering/marblering/transport/listener"
)

const (
	// serverTimeout bounds reading the header of a request, and waiting for open requests
	// during shutdown.
	serverTimeout = 2 * time.Second
	// defaultWeightsSize is the default size of a version in the weight store, in bytes.
	defaultWeightsSize = 64 << 20
)

// standIn describes a command that serves a stand-in for an external system until its
// context is canceled.
type standIn struct {
	use   string
	short string
	// check validates the options; it may be nil.
	check func() error
	// newHandler returns the handler, and a function that closes it after the server has
	// stopped.
	newHandler func() (handler http.Handler, closeHandler func())
}

func (s standIn) command() *cobra.Command {
	address := ""
	command := &cobra.Command{
		Use:   s.use,
		Short: s.short,
		Args:  noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := checkListen(address); err != nil {
				return &usageError{cause: err}
			}
			if s.check != nil {
				if err := s.check(); err != nil {
					return &usageError{cause: err}
				}
			}
			return s.serve(command, address)
		},
	}
	command.Flags().StringVar(&address, "listen", "127.0.0.1:0", "IP:port to listen on; port 0 takes a free one")
	return command
}

func checkListen(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return merry.Errorf("listen address %q isn't an IP number and port", address)
	}
	return nil
}

// serve prints the listen address and serves until the command's context is canceled.
// Requests in flight have serverTimeout to end before the handler is closed.
func (s standIn) serve(command *cobra.Command, address string) error {
	handler, closeHandler := s.newHandler()
	defer closeHandler()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: serverTimeout}
	opened, err := listener.Open(s.use, address, server)
	if err != nil {
		return err
	}
	fmt.Fprintf(command.OutOrStdout(), "listening address=%s\n", opened.Address())
	serving, closeServer := context.WithCancel(context.Background())
	defer closeServer()
	served := make(chan error, 1)
	go func() { served <- opened.Serve(serving) }()
	select {
	case err := <-served:
		return err
	case <-command.Context().Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), serverTimeout)
	defer cancel()
	// What is still in flight after that is cut, such as the watch of a client.
	_ = opened.Shutdown(ctx)
	closeServer()
	<-served
	return nil
}

func newEngineCommand() *cobra.Command {
	var options engine.Options
	command := standIn{
		use:   "engine",
		short: "Run a stand-in of a model engine",
		check: func() error { return checkEngine(options) },
		newHandler: func() (http.Handler, func()) {
			handler := engine.New(options)
			return handler, handler.Close
		},
	}.command()
	flags := command.Flags()
	flags.StringVar(&options.Name, "name", "engine", "name of the engine")
	flags.StringVar(&options.Generation, "generation", engine.DefaultGeneration, "hardware generation, gen1 (oldest) to gen5")
	flags.StringVar(&options.Zone, "zone", "zone-1", "zone")
	flags.StringSliceVar(&options.Models, "models", []string{deployment.ModelName}, "models that are loaded, each NAME or NAME@VERSION")
	flags.StringSliceVar(&options.Adapters, "adapters", nil, "adapters that are loaded, each NAME or NAME@VERSION")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the answers")
	flags.Float64Var(&options.TimeScale, "time-scale", 1, "seconds of the engine in one real second")
	flags.IntVar(&options.MemoryTokens, "memory-tokens", 0, "room for KV cache in tokens; 0 is the generation's")
	flags.IntVar(&options.MaxWaiting, "max-waiting", engine.DefaultMaxWaiting, "requests that may wait; more get 429")
	flags.DurationVar(&options.LoadLag, "load-lag", engine.DefaultLoadLag, "how late the load is reported, in the engine's time")
	flags.DurationVar(&options.CacheEventDelay, "cache-event-delay", engine.DefaultCacheEventDelay, "how late a cache event is published, in the engine's time")
	flags.Float64Var(&options.CacheEventLoss, "cache-event-loss", 0, "part of the cache events that is lost, 0 to 1")
	flags.StringVar(&options.WeightStore, "weight-store", "", "base URL of the weight store; without it a load takes 2s of the engine's time")
	flags.IntVar(&options.LedgerLimit, "ledger-limit", 0, "entries of the ledger that are kept; 0 is its default")
	return command
}

func checkEngine(options engine.Options) error {
	if err := options.Check(); err != nil {
		return err
	}
	if options.WeightStore == "" {
		return nil
	}
	base, err := url.Parse(options.WeightStore)
	if err != nil || base.Scheme != "http" || base.Host == "" {
		return merry.Errorf("engine %s: weight store %q, want a URL such as http://127.0.0.1:7400", options.Name, options.WeightStore)
	}
	return nil
}

func newObjectStoreCommand() *cobra.Command {
	var options objectstore.Options
	command := standIn{
		use:   "objectstore",
		short: "Run a stand-in of the platform's object API",
		check: func() error {
			if options.LogLimit < 0 || options.BookmarkInterval < 0 {
				return merry.Errorf("log limit %d and bookmark interval %v: neither may be negative", options.LogLimit, options.BookmarkInterval)
			}
			return nil
		},
		newHandler: func() (http.Handler, func()) { return objectstore.New(options), func() {} },
	}.command()
	flags := command.Flags()
	flags.Uint64Var(&options.Seed, "seed", 0, "seed of the spread of delays")
	flags.IntVar(&options.LogLimit, "log-limit", objectstore.DefaultLogLimit, "changes that a watch can go back")
	flags.DurationVar(&options.BookmarkInterval, "bookmark-interval", objectstore.DefaultBookmarkInterval, "time after which a silent watch sends a bookmark")
	return command
}

func newToolCommand() *cobra.Command {
	return standIn{
		use:   "tool",
		short: "Run a stand-in of a tool service",
		newHandler: func() (http.Handler, func()) {
			handler := tool.New()
			return handler, handler.Close
		},
	}.command()
}

func newWeightStoreCommand() *cobra.Command {
	var options weightstore.Options
	command := standIn{
		use:   "weightstore",
		short: "Run a stand-in of the store of model weights",
		check: func() error {
			if options.Size < 0 || !(options.Rate >= 0) {
				return merry.Errorf("size %d and rate %v: neither may be negative", options.Size, options.Rate)
			}
			return nil
		},
		newHandler: func() (http.Handler, func()) { return weightstore.New(options), func() {} },
	}.command()
	flags := command.Flags()
	flags.Int64Var(&options.Size, "size", defaultWeightsSize, "size of each version in bytes")
	flags.Float64Var(&options.Rate, "rate", 0, "bytes per second for all readers together; 0 is no limit")
	return command
}
