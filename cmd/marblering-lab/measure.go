package main

import (
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/marblering/marblering/lab/measure"
	"github.com/marblering/marblering/lab/scale"
)

func newMeasureCommand() *cobra.Command {
	group := &cobra.Command{
		Use:   "measure",
		Short: "Measure a deployment in this process",
		Args:  noArguments,
		RunE:  showHelp,
	}
	group.AddCommand(newMeasureTurnsCommand(), newMeasurePathCommand(), newMeasureRepairCommand(), newMeasureRecordsCommand())
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

func newMeasurePathCommand() *cobra.Command {
	var options scale.TurnOptions
	var turns []int
	command := &cobra.Command{
		Use:   "path",
		Short: "Measure what a turn costs the nodes, which run in a process of their own",
		Args:  noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			var points []scale.TurnUsage
			for _, count := range turns {
				options.Turns = count
				point, err := scale.MeasureTurns(command.Context(), options)
				if err != nil {
					return err
				}
				points = append(points, point)
			}
			return scale.PrintTurns(command.OutOrStdout(), points)
		},
	}
	addTurnFlags(command.Flags(), &options, 3)
	command.Flags().IntSliceVar(&turns, "turns", []int{1, 10, 88}, "turns of each program, one point each")
	command.Flags().BoolVar(&options.OnDisk, "on-disk", false, "keep replicas in a temporary folder")
	return command
}

// addTurnFlags adds what the measurements with a load have in common.
func addTurnFlags(flags *pflag.FlagSet, options *scale.TurnOptions, nodes int) {
	flags.IntVar(&options.Zones, "zones", 3, "zones")
	flags.IntVar(&options.Nodes, "nodes", nodes, "nodes")
	flags.IntVar(&options.Engines, "engines", 3, "engines")
	flags.IntVar(&options.Programs, "programs", 8, "programs")
	flags.IntVar(&options.Concurrency, "concurrency", 4, "programs at a time")
	flags.IntVar(&options.MessageBytes, "message-bytes", 14000, "length of each user message")
	flags.Uint64Var(&options.OutputTokens, "output-tokens", 260, "longest answer")
	flags.Float64Var(&options.TimeScale, "time-scale", 100, "seconds of an engine in one real second")
	flags.DurationVar(&options.Timeout, "timeout", 3*time.Minute, "longest time of a point")
}

func newMeasureRepairCommand() *cobra.Command {
	var options scale.TurnOptions
	var turns []int
	command := &cobra.Command{
		Use:   "repair",
		Short: "Measure what the others spend to replace the replicas of a node that crashed",
		Args:  noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			var points []scale.RepairUsage
			for _, count := range turns {
				options.Turns = count
				point, err := scale.MeasureRepair(command.Context(), options)
				if err != nil {
					return err
				}
				points = append(points, point)
			}
			return scale.PrintRepair(command.OutOrStdout(), points)
		},
	}
	addTurnFlags(command.Flags(), &options, 6)
	command.Flags().IntSliceVar(&turns, "turns", []int{1, 10}, "turns of each program, one point each")
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
