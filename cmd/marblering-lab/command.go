package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marblering/marblering/lab/demo"
	"github.com/marblering/marblering/lab/experiment"
	"github.com/marblering/marblering/telemetry"
)

// Exit codes of the process.
const (
	exitOK      = 0
	exitFailure = 1
	// exitUsage reports an invalid command line.
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
	fmt.Fprintln(root.ErrOrStderr(), "marblering-lab:", err)
	var usageErr *usageError
	if errors.As(err, &usageErr) {
		return exitUsage
	}
	return exitFailure
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "marblering-lab",
		Short:         "Stand-ins of the outside systems, demo and experiments",
		Args:          noArguments,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          showHelp,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetFlagErrorFunc(func(command *cobra.Command, err error) error {
		return &usageError{cause: merry.Appendf(err, "see %s --help", command.CommandPath())}
	})
	root.AddCommand(
		newDemoCommand(),
		newEngineCommand(),
		newObjectStoreCommand(),
		newToolCommand(),
		newWeightStoreCommand(),
		newExperimentCommand(),
	)
	return root
}

// noArguments rejects positional arguments, such as a misspelled command.
func noArguments(command *cobra.Command, arguments []string) error {
	return wrapArgsError(cobra.NoArgs)(command, arguments)
}

// wrapArgsError returns a check that reports errors of positional arguments as usageError.
func wrapArgsError(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, arguments []string) error {
		if err := check(command, arguments); err != nil {
			return &usageError{cause: merry.Appendf(err, "see %s --help", command.CommandPath())}
		}
		return nil
	}
}

func showHelp(command *cobra.Command, _ []string) error { return command.Help() }

func newDemoCommand() *cobra.Command {
	verbose := false
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run one program of three turns over three nodes and two engines in this process",
		Args:  noArguments,
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

func newExperimentCommand() *cobra.Command {
	command := experiment.Command()
	command.Args = wrapArgsError(command.Args)
	return command
}
