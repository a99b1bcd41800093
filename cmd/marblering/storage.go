package main

import (
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marblering/marblering/node/storage"
	"github.com/marblering/marblering/platform"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/telemetry"
)

func newStorageCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "storage",
		Short: "Run a storage node on a machine with a disk until SIGTERM or SIGINT",
		Args:  usage(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(settingsVariable)
			}
			loaded, err := settings.LoadStorage(path, command.Flags())
			if err != nil {
				return err
			}
			return runStorage(command, path, loaded)
		},
	}
	addSettingsFlag(command, &path)
	settings.AddStorageFlags(command.Flags())
	return command
}

func runStorage(command *cobra.Command, path string, loaded settings.Storage) error {
	level, err := zapcore.ParseLevel(loaded.LogLevel)
	if err != nil {
		return err
	}
	adjustable := zap.NewAtomicLevelAt(level)
	lines := telemetry.NewAsyncWriter(command.OutOrStdout(), logRoom)
	defer lines.Close()
	logger := telemetry.NewLogger(lines, adjustable,
		zap.String("node", loaded.Name), zap.String("zone", loaded.Zone))
	reload := reloader[settings.Storage]{
		load:     func() (settings.Storage, error) { return settings.LoadStorage(path, command.Flags()) },
		logLevel: func(s *settings.Storage) *string { return &s.LogLevel },
		current:  loaded, level: adjustable, logger: logger,
	}
	go reload.run()
	return storage.Run(command.Context(), loaded, platform.StorageParts(loaded.StoreURL), logger)
}
