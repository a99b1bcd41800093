package main

import (
	"context"
	"io"
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

// maxQueuedLogLines bounds the log lines waiting to be written.
const maxQueuedLogLines = 2048

// role describes a daemon with its own settings type.
type role[T any] struct {
	name     string
	short    string
	addFlags func(flags *pflag.FlagSet)
	load     func(path string, flags *pflag.FlagSet) (T, error)
	// identity returns the name and zone of the node.
	identity func(loaded T) (name, zone string)
	// logLevel returns a pointer to the log level in the settings.
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
			return gateway.Run(ctx, loaded, platform.GatewayDependencies(loaded.StoreURL), logger)
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
			return storage.Run(ctx, loaded, platform.StorageDependencies(loaded.StoreURL), logger)
		},
	})
}

func newRoleCommand[T any](r role[T]) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   r.name,
		Short: r.short,
		Args:  wrapArgsError(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(settingsEnv)
			}
			logWriter := telemetry.NewAsyncWriter(command.OutOrStdout(), maxQueuedLogLines)
			defer logWriter.Close()
			return r.start(command, path, logWriter)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings file (default: $"+settingsEnv+"); flags override it")
	r.addFlags(command.Flags())
	return command
}

// start loads the settings, reloads them on SIGHUP and runs the daemon, which logs to the
// writer.
func (r role[T]) start(command *cobra.Command, path string, log io.Writer) error {
	hangups := notifyHangups() // before anything that takes time
	load := func() (T, error) { return r.load(path, command.Flags()) }
	loaded, err := load()
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(*r.logLevel(&loaded))
	if err != nil {
		return err
	}
	atomicLevel := zap.NewAtomicLevelAt(level)
	name, zone := r.identity(loaded)
	logger := telemetry.NewLogger(log, atomicLevel, zap.String("node", name), zap.String("zone", zone))
	settingsReloader := reloader[T]{load: load, logLevel: r.logLevel, current: loaded, level: atomicLevel, logger: logger}
	go settingsReloader.run(hangups)
	return r.run(command.Context(), loaded, logger)
}
