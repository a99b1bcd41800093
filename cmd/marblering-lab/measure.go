package main

import (
	"github.com/spf13/cobra"

	"github.com/marblering/marblering/lab/measure"
)

func newMeasureCommand() *cobra.Command {
	group := &cobra.Command{
		Use:   "measure",
		Short: "Measure a deployment in this process",
		Args:  noArguments,
		RunE:  showHelp,
	}
	group.AddCommand(newMeasureTurnsCommand(), newMeasureRecordsCommand())
	return group
}

func newMeasureTurnsCommand() *cobra.Command {
	var options measure.TurnOptions
	command := &cobra.Command{
		Use:   "turns",
		Short: "Measure what a turn costs beyond the engine's own time",
		Args:  noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			return measure.Turns(command.Context(), command.OutOrStdout(), options)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.Zones, "zones", 3, "zones")
	flags.IntVar(&options.Nodes, "nodes", 3, "nodes")
	flags.IntVar(&options.Engines, "engines", 3, "engines")
	flags.IntVar(&options.Programs, "programs", 40, "programs")
	flags.IntVar(&options.Turns, "turns", 10, "turns of each program")
	flags.IntVar(&options.Concurrency, "concurrency", 4, "programs at a time")
	flags.IntVar(&options.MessageBytes, "message-bytes", 200, "length of each user message")
	flags.Uint64Var(&options.OutputTokens, "output-tokens", 16, "longest answer")
	flags.Float64Var(&options.TimeScale, "time-scale", 100, "seconds of an engine in one real second")
	flags.StringSliceVar(&options.DataFolders, "data-folders", nil, "folders for replicas on disk, one a node")
	flags.BoolVar(&options.Wander, "wander", false, "send each turn to another node")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the engines")
	return command
}

func newMeasureRecordsCommand() *cobra.Command {
	var options measure.RecordOptions
	command := &cobra.Command{
		Use:   "records",
		Short: "Measure the memory that programs keep at the nodes",
		Args:  noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			return measure.Records(command.Context(), command.OutOrStdout(), options)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.Programs, "programs", 600, "programs that are kept open")
	flags.IntVar(&options.Turns, "turns", 1, "turns of each program")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the engines")
	return command
}
