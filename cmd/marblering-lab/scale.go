package main

import (
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/marblering/marblering/lab/scale"
)

// newScaleCommand measures one point for each number of nodes given.
func newScaleCommand() *cobra.Command {
	var nodes []int
	options := scale.Options{Logger: zap.NewNop()}
	command := &cobra.Command{
		Use:   "scale",
		Short: "Measure the control cost of a node: many nodes in this process, hollow engines",
		Args:  noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			var points []scale.Usage
			for _, count := range nodes {
				options.Nodes = count
				point, err := scale.Measure(command.Context(), options)
				if err != nil {
					return err
				}
				points = append(points, point)
			}
			return scale.Print(command.OutOrStdout(), points)
		},
	}
	flags := command.Flags()
	flags.IntSliceVar(&nodes, "nodes", []int{3, 12, 50}, "numbers of nodes, one point each")
	flags.IntVar(&options.Zones, "zones", 13, "zones")
	flags.IntVar(&options.Engines, "engines", 0, "hollow engines")
	flags.IntVar(&options.Tenants, "tenants", 0, "tenants beside the first")
	flags.IntVar(&options.Shards, "shards", 64, "shards")
	flags.IntVar(&options.Programs, "programs", 0, "programs of one turn each")
	flags.IntVar(&options.Changes, "changes", 0, "configuration changes during the window")
	flags.DurationVar(&options.Settle, "settle", 20*time.Second, "pause before the window")
	flags.DurationVar(&options.Window, "window", 20*time.Second, "length of the window")
	return command
}
