package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/lab/deployment"
)

// RepairUsage is what the others spent to replace the replicas of one node.
type RepairUsage struct {
	Nodes    int
	Programs int
	Turns    int
	// Whole is the time from the crash until every set had all its members again.
	Whole time.Duration
	// LostTurns is how many copies of turns the node held, by its part of all.
	LostTurns float64
	// Bytes between the remaining nodes beyond their idle rate, each counted once.
	Bytes float64
	// Processor beyond the idle rate.
	Processor time.Duration
}

const (
	// idleWindow is the time over which the idle rate is measured.
	idleWindow = 10 * time.Second
	// copiesPause is the pause between two looks at the replica sets.
	copiesPause = 250 * time.Millisecond
	// repairTail is measured beyond the end, for copies that come late.
	repairTail = 3 * time.Second
)

// MeasureRepair runs the programs, crashes a node and measures the others until
// its replicas have been replaced.
func MeasureRepair(ctx context.Context, options TurnOptions) (RepairUsage, error) {
	return measureRepairWith(ctx, launchProcess, options)
}

func measureRepairWith(ctx context.Context, launch launcher, options TurnOptions) (usage RepairUsage, err error) {
	if options.Nodes <= replicationFactor {
		return RepairUsage{}, merry.Errorf("%d nodes: replacing a replica needs more than %d", options.Nodes, replicationFactor)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, options.Timeout,
		merry.Errorf("the repair took longer than the timeout of %v", options.Timeout))
	defer cancel()
	defer func() { err = errors.Join(err, context.Cause(ctx)) }()
	outside, err := deployment.Start(ctx, deployment.Options{
		Zones: options.Zones, Engines: options.Engines, Generations: []string{turnGeneration},
		Seed: 1, TimeScale: options.TimeScale, Logger: zap.NewNop(),
	})
	if err != nil {
		return RepairUsage{}, err
	}
	defer func() { err = errors.Join(err, outside.Close()) }()
	nodes, _, err := startGroup(ctx, launch, groupOptions{
		Platform: outside.Platform, Nodes: options.Nodes, Zones: options.Zones, Shards: turnShards,
	})
	if err != nil {
		return RepairUsage{}, err
	}
	defer func() { err = errors.Join(err, nodes.close()) }()
	if err := runPrograms(ctx, nodes, options, new(atomic.Uint64)); err != nil {
		return RepairUsage{}, err
	}
	return crashOne(ctx, nodes, options)
}

func crashOne(ctx context.Context, nodes *group, options TurnOptions) (RepairUsage, error) {
	idle, err := nodes.exchange(groupRequest{Kind: requestSample})
	if err != nil {
		return RepairUsage{}, err
	}
	if err := sleep.For(ctx, idleWindow); err != nil {
		return RepairUsage{}, err
	}
	before, err := nodes.exchange(groupRequest{Kind: requestSample})
	if err != nil {
		return RepairUsage{}, err
	}
	all, err := nodes.exchange(groupRequest{Kind: requestCopies})
	if err != nil {
		return RepairUsage{}, err
	}
	crashed := time.Now()
	if _, err := nodes.exchange(groupRequest{Kind: requestCrash}); err != nil {
		return RepairUsage{}, err
	}
	left, err := nodes.exchange(groupRequest{Kind: requestCopies})
	if err != nil {
		return RepairUsage{}, err
	}
	if err := awaitCopies(ctx, nodes, all.Copies); err != nil {
		return RepairUsage{}, err
	}
	whole := time.Since(crashed)
	if err := sleep.For(ctx, repairTail); err != nil {
		return RepairUsage{}, err
	}
	after, err := nodes.exchange(groupRequest{Kind: requestSample})
	if err != nil {
		return RepairUsage{}, err
	}
	usage := repairUsage(idle.Sample, before.Sample, after.Sample)
	usage.Nodes, usage.Programs, usage.Turns, usage.Whole = options.Nodes, options.Programs, options.Turns, whole
	usage.LostTurns = float64(options.Programs*options.Turns*(all.Copies-left.Copies)) / turnShards
	return usage, nil
}

func awaitCopies(ctx context.Context, nodes *group, wanted int) error {
	for {
		reply, err := nodes.exchange(groupRequest{Kind: requestCopies})
		if err != nil || reply.Copies >= wanted {
			return err
		}
		if err := sleep.For(ctx, copiesPause); err != nil {
			return err
		}
	}
}

// repairUsage takes the idle rate off what the nodes that are left have used.
func repairUsage(idle, before, after sample) RepairUsage {
	idleSeconds := before.At.Sub(idle.At).Seconds()
	seconds := after.At.Sub(before.At).Seconds()
	idleCore := (before.Processor - idle.Processor).Seconds() / idleSeconds
	usage := RepairUsage{
		Processor: after.Processor - before.Processor - time.Duration(idleCore*seconds*float64(time.Second)),
	}
	for index, counts := range after.Nodes {
		idleRate := (before.Nodes[index]["peer"] - idle.Nodes[index]["peer"]) / idleSeconds
		// Both ends count a byte.
		usage.Bytes += (counts["peer"] - before.Nodes[index]["peer"] - idleRate*seconds) / 2
	}
	return usage
}

// PrintRepair writes one row a point.
func PrintRepair(out io.Writer, points []RepairUsage) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "nodes\tprograms\tturns\twhole after s\tlost copies of turns\tbytes\tbytes a copy\tcore ms a copy\t")
	for _, point := range points {
		fmt.Fprintf(table, "%d\t%d\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.3f\t\n",
			point.Nodes, point.Programs, point.Turns, point.Whole.Seconds(), point.LostTurns, point.Bytes,
			point.Bytes/point.LostTurns, point.Processor.Seconds()*1000/point.LostTurns)
	}
	return table.Flush()
}
