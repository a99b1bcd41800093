package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/marblering/marblering/lab/scale"
)

// scaleRun is a set of points: every combination of what is varied.
type scaleRun struct {
	nodes    []int
	engines  []int
	tenants  []int
	programs []int
	changes  []int
	fixed    scale.Options
}

// newScaleCommand measures a point for each combination of the numbers given.
func newScaleCommand() *cobra.Command {
	var run scaleRun
	command := &cobra.Command{
		Use:   "scale",
		Short: "Measure the control cost of a node: many nodes in a few processes, hollow engines",
		Args:  noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			points, err := run.measure(command.Context())
			// What was measured before a failure is printed all the same.
			if printed := scale.Print(command.OutOrStdout(), points); printed != nil {
				return printed
			}
			if err != nil {
				return err
			}
			return scale.PrintFit(command.OutOrStdout(), points)
		},
	}
	flags := command.Flags()
	flags.IntSliceVar(&run.nodes, "nodes", []int{3, 12, 50}, "numbers of nodes")
	flags.IntSliceVar(&run.engines, "engines-per-node", []int{0}, "numbers of hollow engines a node")
	flags.IntSliceVar(&run.tenants, "tenants", []int{0}, "numbers of tenants beside the first")
	flags.IntSliceVar(&run.programs, "programs", []int{0}, "numbers of programs of one turn each")
	flags.IntSliceVar(&run.changes, "changes", []int{0}, "numbers of configuration changes during the window")
	flags.IntVar(&run.fixed.Zones, "zones", 13, "zones")
	flags.IntVar(&run.fixed.Shards, "shards", 64, "shards")
	flags.IntVar(&run.fixed.NodesPerProcess, "nodes-per-process", 50, "nodes that share a process, at most")
	flags.DurationVar(&run.fixed.Settle, "settle", 20*time.Second, "pause before the window")
	flags.DurationVar(&run.fixed.Window, "window", 20*time.Second, "length of the window")
	flags.DurationVar(&run.fixed.Timeout, "timeout", 3*time.Minute, "longest time of a point")
	return command
}

func (r *scaleRun) measure(ctx context.Context) ([]scale.Usage, error) {
	var points []scale.Usage
	for _, options := range r.options() {
		point, err := scale.Measure(ctx, options)
		if err != nil {
			return points, err
		}
		points = append(points, point)
	}
	return points, nil
}

func (r *scaleRun) options() []scale.Options {
	var all []scale.Options
	for _, nodes := range r.nodes {
		for _, engines := range r.engines {
			for _, tenants := range r.tenants {
				for _, programs := range r.programs {
					for _, changes := range r.changes {
						options := r.fixed
						options.Nodes, options.EnginesPerNode, options.Tenants = nodes, engines, tenants
						options.Programs, options.Changes = programs, changes
						all = append(all, options)
					}
				}
			}
		}
	}
	return all
}

// newScaleGroupCommand is the process that the scale run starts for its nodes.
func newScaleGroupCommand() *cobra.Command {
	return &cobra.Command{
		Use:    scale.GroupCommand,
		Short:  "Run nodes for the scale run, which talks to this over standard input and output",
		Args:   noArguments,
		Hidden: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return scale.ServeGroup(command.Context(), os.Stdin, os.Stdout)
		},
	}
}
