package main

import (
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marblering/marblering/node/gateway"
	"github.com/marblering/marblering/platform"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/telemetry"
)

func newGatewayCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "gateway",
		Short: "Run a gateway between callers and back ends until SIGTERM or SIGINT",
		Args:  usage(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(settingsVariable)
			}
			loaded, err := settings.LoadGateway(path, command.Flags())
			if err != nil {
				return err
			}
			return runGateway(command, path, loaded)
		},
	}
	addSettingsFlag(command, &path)
	settings.AddGatewayFlags(command.Flags())
	return command
}

func runGateway(command *cobra.Command, path string, loaded settings.Gateway) error {
	level, err := zapcore.ParseLevel(loaded.LogLevel)
	if err != nil {
		return err
	}
	adjustable := zap.NewAtomicLevelAt(level)
	lines := telemetry.NewAsyncWriter(command.OutOrStdout(), logRoom)
	defer lines.Close()
	logger := telemetry.NewLogger(lines, adjustable,
		zap.String("node", loaded.Name), zap.String("zone", loaded.Zone))
	reload := reloader[settings.Gateway]{
		load:     func() (settings.Gateway, error) { return settings.LoadGateway(path, command.Flags()) },
		logLevel: func(s *settings.Gateway) *string { return &s.LogLevel },
		current:  loaded, level: adjustable, logger: logger,
	}
	go reload.run()
	return gateway.Run(command.Context(), loaded, platform.GatewayParts(loaded.StoreURL), logger)
}
