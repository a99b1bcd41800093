package main

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/marblering/marblering/protocol/operator"
	"github.com/marblering/marblering/settings"
)

// Exit codes of the process.
const (
	exitOK      = 0
	exitFailure = 1
	// exitUsage reports an invalid command line or invalid settings.
	exitUsage = 2
)

// usageError marks an invalid command line.
type usageError struct {
	cause error
}

// Error returns the message of the cause.
func (e *usageError) Error() string { return e.cause.Error() }

// execute runs the command line and returns the exit code. An error is printed as one line
// to the standard error stream.
func execute(ctx context.Context, root *cobra.Command, arguments []string) int {
	root.SetArgs(arguments)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(root.ErrOrStderr(), "marblering:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var settingsErr *settings.Error
	var usageErr *usageError
	if errors.As(err, &settingsErr) || errors.As(err, &usageErr) {
		return exitUsage
	}
	return exitFailure
}

func newRootCommand(run nodeRunner) *cobra.Command {
	root := &cobra.Command{
		Use:           "marblering",
		Short:         "Scheduler for agent programs",
		Args:          wrapArgsError(cobra.NoArgs),
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	root.SetFlagErrorFunc(func(command *cobra.Command, err error) error {
		return &usageError{cause: merry.Appendf(err, "see %s --help", command.CommandPath())}
	})
	root.AddCommand(newServeCommand(run), newGatewayCommand(), newStorageCommand(), newConfigCommand(), newExplainCommand(), newVersionCommand())
	root.AddCommand(operatorCommands()...)
	return root
}

func newServeCommand(run nodeRunner) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run this machine's node until SIGTERM or SIGINT",
		Args:  wrapArgsError(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command, run, path)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings file; flags override it")
	settings.AddFlags(command.Flags())
	return command
}

func serve(command *cobra.Command, run nodeRunner, path string) error {
	node := role[settings.Settings]{
		load:     settings.Load,
		identity: func(loaded settings.Settings) (string, string) { return loaded.Name, loaded.Zone },
		logLevel: func(loaded *settings.Settings) *string { return &loaded.LogLevel },
		run:      run,
	}
	return node.start(command, path, command.ErrOrStderr())
}

func newConfigCommand() *cobra.Command {
	group := &cobra.Command{
		Use:   "config",
		Short: "Work with settings files",
		Args:  wrapArgsError(cobra.NoArgs),
		RunE:  func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	var role string
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file without starting a daemon",
		Args:  wrapArgsError(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			if err := checkSettings(role, arguments[0]); err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: ok\n", arguments[0])
			return nil
		},
	}
	check.Flags().StringVar(&role, "role", roleNode, "role that the settings are for: node, gateway or storage")
	group.AddCommand(check)
	return group
}

// Roles accepted by config check.
const (
	roleNode    = "node"
	roleGateway = "gateway"
	roleStorage = "storage"
)

func checkSettings(role, path string) (err error) {
	switch role {
	case roleNode:
		_, err = settings.Load(path, nil)
	case roleGateway:
		_, err = settings.LoadGateway(path, nil)
	case roleStorage:
		_, err = settings.LoadStorage(path, nil)
	default:
		err = &usageError{cause: merry.Errorf("unknown role %q (allowed: node, gateway, storage)", role)}
	}
	return err
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this build",
		Args:  wrapArgsError(cobra.NoArgs),
		Run: func(command *cobra.Command, _ []string) {
			fmt.Fprintln(command.OutOrStdout(), "marblering", version())
		},
	}
}

// version returns the module version and the Go version from the build information.
func version() string {
	info, found := debug.ReadBuildInfo()
	if !found {
		return "unknown"
	}
	return fmt.Sprintf("%s (%s)", info.Main.Version, info.GoVersion)
}

// operatorCommands returns the commands that query a running node.
func operatorCommands() []*cobra.Command {
	commands := operator.Commands()
	for _, command := range commands {
		command.Args = wrapArgsError(command.Args)
	}
	return commands
}

// wrapArgsError returns a check that reports errors of positional arguments as usageError.
func wrapArgsError(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, arguments []string) error {
		if err := check(command, arguments); err != nil {
			return &usageError{cause: err}
		}
		return nil
	}
}
