package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marblering/marblering/node/gateway"
	"github.com/marblering/marblering/node/storage"
	"github.com/marblering/marblering/platform"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/telemetry"
)

// logRoom is how many log lines may wait to be written.
const logRoom = 2048

// role is a daemon with settings of its own.
type role[T any] struct {
	name     string
	short    string
	addFlags func(flags *pflag.FlagSet)
	load     func(path string, flags *pflag.FlagSet) (T, error)
	// identity returns the node's name and zone.
	identity func(loaded T) (name, zone string)
	// logLevel points to the level in the settings.
	logLevel func(loaded *T) *string
	run      func(ctx context.Context, loaded T, logger *zap.Logger) error
}

func newGatewayCommand() *cobra.Command {
	return newRoleCommand(role[settings.Gateway]{
		name:     roleGateway,
		short:    "Run a gateway between callers and back ends until SIGTERM or SIGINT",
		addFlags: settings.AddGatewayFlags,
		load:     settings.LoadGateway,
		identity: func(loaded settings.Gateway) (string, string) { return loaded.Name, loaded.Zone },
		logLevel: func(loaded *settings.Gateway) *string { return &loaded.LogLevel },
		run: func(ctx context.Context, loaded settings.Gateway, logger *zap.Logger) error {
			return gateway.Run(ctx, loaded, platform.GatewayParts(loaded.StoreURL), logger)
		},
	})
}

func newStorageCommand() *cobra.Command {
	return newRoleCommand(role[settings.Storage]{
		name:     roleStorage,
		short:    "Run a storage node on a machine with a disk until SIGTERM or SIGINT",
		addFlags: settings.AddStorageFlags,
		load:     settings.LoadStorage,
		identity: func(loaded settings.Storage) (string, string) { return loaded.Name, loaded.Zone },
		logLevel: func(loaded *settings.Storage) *string { return &loaded.LogLevel },
		run: func(ctx context.Context, loaded settings.Storage, logger *zap.Logger) error {
			return storage.Run(ctx, loaded, platform.StorageParts(loaded.StoreURL), logger)
		},
	})
}

func newRoleCommand[T any](wanted role[T]) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   wanted.name,
		Short: wanted.short,
		Args:  usage(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(settingsVariable)
			}
			return wanted.start(command, path)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings file (default: $"+settingsVariable+"); flags win over it")
	wanted.addFlags(command.Flags())
	return command
}

// start reads the settings, and again at each SIGHUP, and runs the daemon.
func (r role[T]) start(command *cobra.Command, path string) error {
	load := func() (T, error) { return r.load(path, command.Flags()) }
	loaded, err := load()
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(*r.logLevel(&loaded))
	if err != nil {
		return err
	}
	adjustable := zap.NewAtomicLevelAt(level)
	lines := telemetry.NewAsyncWriter(command.OutOrStdout(), logRoom)
	defer lines.Close()
	name, zone := r.identity(loaded)
	logger := telemetry.NewLogger(lines, adjustable, zap.String("node", name), zap.String("zone", zone))
	reload := reloader[T]{load: load, logLevel: r.logLevel, current: loaded, level: adjustable, logger: logger}
	go reload.run()
	return r.run(command.Context(), loaded, logger)
}
