package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marblering/marblering/lab/demo"
	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/lab/objectstore"
	"github.com/marblering/marblering/telemetry"
)

// stopTimeout bounds how long a stand-in waits for open requests at its end.
const stopTimeout = 2 * time.Second

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "marblering-lab",
		Short:         "Stand-ins of the outside systems, demo and experiments",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(newDemoCommand(), newEngineCommand(), newObjectStoreCommand(), newMeasureCommand(), newScaleCommand(), newScaleGroupCommand())
	return root
}

func newDemoCommand() *cobra.Command {
	verbose := false
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run one program of three turns over three nodes and two engines in this process",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			logger := zap.NewNop()
			if verbose {
				logger = telemetry.NewLogger(command.ErrOrStderr(), zapcore.InfoLevel)
			}
			return demo.Run(command.Context(), command.OutOrStdout(), logger)
		},
	}
	command.Flags().BoolVar(&verbose, "verbose", false, "print the nodes' logs")
	return command
}

func newEngineCommand() *cobra.Command {
	var options engine.Options
	address := ""
	command := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in of a model engine",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			stand := engine.New(options)
			defer stand.Close()
			return serve(command, address, stand)
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "listen", "127.0.0.1:0", "IP:port to listen on")
	flags.StringVar(&options.Name, "name", "engine", "name of the engine")
	flags.StringVar(&options.Generation, "generation", engine.DefaultGeneration, "hardware generation")
	flags.StringVar(&options.Zone, "zone", "zone-1", "zone")
	flags.StringSliceVar(&options.Models, "models", []string{deployment.ModelName}, "models that are loaded")
	flags.StringSliceVar(&options.Adapters, "adapters", nil, "adapters that are loaded")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the answers")
	flags.Float64Var(&options.TimeScale, "time-scale", 1, "seconds of the engine in one real second")
	return command
}

func newObjectStoreCommand() *cobra.Command {
	address := ""
	command := &cobra.Command{
		Use:   "objectstore",
		Short: "Run a stand-in of the platform's object API",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command, address, objectstore.New(objectstore.Options{}))
		},
	}
	command.Flags().StringVar(&address, "listen", "127.0.0.1:0", "IP:port to listen on")
	return command
}

// serve prints where it listens and serves until the command's context ends.
func serve(command *cobra.Command, address string, handler http.Handler) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintf(command.OutOrStdout(), "listening address=%s\n", socket.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: stopTimeout}
	stop := context.AfterFunc(command.Context(), func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
