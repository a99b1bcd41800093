// Package scale runs many nodes in a few processes beside hollow engines and
// measures what the control of a node costs: processor time, bytes and memory,
// against the number of nodes, engines, tenants, programs and configuration
// changes. docs/CAPACITY.md is worked out from its slopes.
package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/lab/deployment"
)

// Options describe one point of a scale run.
type Options struct {
	Zones int
	Nodes int
	// NodesPerProcess bounds how many nodes share a process.
	NodesPerProcess int
	// EnginesPerNode are hollow.
	EnginesPerNode int
	Tenants        int
	Shards         int
	// Programs are created, with one turn each, before the window.
	Programs int
	// Changes of the configuration during the window, evenly spread.
	Changes int
	// Settle is the pause before the window, Window its length.
	Settle time.Duration
	Window time.Duration
	// Timeout bounds the whole point; then its processes are killed.
	Timeout time.Duration
}

// replicationFactor is that of the nodes' default settings.
const replicationFactor = 3

// Measure starts the system, lets it settle and measures the window. Nodes run
// in processes of their own, so that this one's work isn't counted as theirs.
func Measure(ctx context.Context, options Options) (Usage, error) {
	return measureWith(ctx, launchProcess, options)
}

func measureWith(ctx context.Context, launch launcher, options Options) (usage Usage, err error) {
	if options.NodesPerProcess < replicationFactor {
		return Usage{}, merry.Errorf("%d nodes a process: the first process needs %d for the shard map",
			options.NodesPerProcess, replicationFactor)
	}
	if err := checkDescriptors(options.Nodes, options.NodesPerProcess); err != nil {
		return Usage{}, err
	}
	ctx, cancel := context.WithTimeoutCause(ctx, options.Timeout,
		merry.Errorf("a point of %d nodes took longer than its timeout of %v", options.Nodes, options.Timeout))
	defer cancel()
	usage, err = measurePoint(ctx, launch, options)
	if cause := context.Cause(ctx); cause != nil {
		return Usage{}, errors.Join(cause, err)
	}
	return usage, err
}

func measurePoint(ctx context.Context, launch launcher, options Options) (usage Usage, err error) {
	engines := options.Nodes * options.EnginesPerNode
	hollow := startHollowEngines(engines, options.Zones)
	defer hollow.close()
	outside, err := deployment.Start(ctx, deployment.Options{
		Zones: options.Zones, Engines: realEngines(options), Seed: 1, TimeScale: 1000,
		Hollow: hollow.engines, Tenants: options.Tenants, Logger: zap.NewNop(),
	})
	if err != nil {
		return Usage{}, err
	}
	defer func() { err = errors.Join(err, outside.Close()) }()
	groups, err := startGroups(ctx, launch, outside.Platform, options)
	defer func() { err = errors.Join(err, closeGroups(groups)) }()
	if err != nil {
		return Usage{}, err
	}
	if err := createPrograms(ctx, callersOf(groups), options.Programs); err != nil {
		return Usage{}, err
	}
	if err := sleep.For(ctx, options.Settle); err != nil {
		return Usage{}, err
	}
	before, err := takeSamples(groups)
	if err != nil {
		return Usage{}, err
	}
	slowest, err := runWindow(ctx, outside.Platform, groups, options)
	if err != nil {
		return Usage{}, err
	}
	after, err := takeSamples(groups)
	if err != nil {
		return Usage{}, err
	}
	usage = usageBetween(before, after, options.Nodes)
	usage.Engines, usage.Tenants, usage.Programs = engines, options.Tenants, options.Programs
	usage.Copies = options.Programs * replicationFactor
	usage.ChangesPerSecond = float64(options.Changes) / options.Window.Seconds()
	usage.InForceSeconds = slowest.Seconds()
	usage.ShardMapKB, err = shardMapKB(ctx, outside.Platform)
	return usage, err
}

// realEngines serve the programs' turns; without programs none is needed.
func realEngines(options Options) int {
	if options.Programs == 0 {
		return 0
	}
	return options.Zones
}

// startGroups starts the groups one after the other; those after the first join
// it. What was started is returned also on an error.
func startGroups(ctx context.Context, launch launcher, platform string, options Options) ([]*group, error) {
	var groups []*group
	var seeds []string
	for first := 0; first < options.Nodes; first += options.NodesPerProcess {
		started, peers, err := startGroup(ctx, launch, groupOptions{
			Platform: platform, Seeds: seeds, First: first,
			Nodes: min(options.NodesPerProcess, options.Nodes-first),
			Zones: options.Zones, Shards: options.Shards,
		})
		if err != nil {
			return groups, err
		}
		groups = append(groups, started)
		if err := checkMemory(groups, options.Nodes); err != nil {
			return groups, err
		}
		if len(seeds) == 0 {
			seeds = peers[:min(maxSeeds, len(peers))]
		}
	}
	return groups, nil
}

// maxSeeds is how many nodes of the first group the others are told of.
const maxSeeds = 3

func closeGroups(groups []*group) error {
	failures := make([]error, len(groups))
	var closing errgroup.Group
	for index, started := range groups {
		closing.Go(func() error {
			failures[index] = started.close()
			return nil
		})
	}
	return errors.Join(closing.Wait(), errors.Join(failures...))
}

func callersOf(groups []*group) []string {
	var callers []string
	for _, started := range groups {
		callers = append(callers, started.callers...)
	}
	return callers
}

func takeSamples(groups []*group) ([]sample, error) {
	samples := make([]sample, len(groups))
	var taking errgroup.Group
	for index, started := range groups {
		taking.Go(func() error {
			reply, err := started.exchange(groupRequest{Kind: requestSample})
			samples[index] = reply.Sample
			return err
		})
	}
	return samples, taking.Wait()
}

// Print writes one row a point.
func Print(out io.Writer, points []Usage) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "nodes\tengines\ttenants\tprograms\tchanges/s\tcore %\tpeer B/s\tengine B/s\tplatform B/s\tcontrol B/s\thighest node\tlive MB\tresident MB\tgoroutines\tin force s\tstart KB\tshard map KB\t")
	for _, point := range points {
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.0f\t%.2f\t%.1f\t%.1f\t\n",
			point.Nodes, point.Engines, point.Tenants, point.Programs, point.ChangesPerSecond, 100*point.Core,
			point.BytesPerSecond["peer"], point.BytesPerSecond["engine"], point.BytesPerSecond["platform"],
			point.ControlBytes(), point.HighestBytes, point.MemoryMB, point.ResidentMB, point.Goroutines, point.InForceSeconds, point.StartKB, point.ShardMapKB)
	}
	return table.Flush()
}
