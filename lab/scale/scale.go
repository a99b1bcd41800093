// Package scale runs many nodes in one process beside hollow engines and
// measures what the control of a node costs: processor time, bytes and memory,
// against the number of nodes, engines, tenants, programs and configuration
// changes. docs/CAPACITY.md is worked out from its slopes.
package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/protocol/objectapi"
)

// Options describe one point of a scale run.
type Options struct {
	Zones   int
	Nodes   int
	Engines int
	Tenants int
	Shards  int
	// Programs are created, with one turn each, before the window.
	Programs int
	// Changes of the configuration during the window, evenly spread.
	Changes int
	// Settle is the pause before the window, Window its length.
	Settle time.Duration
	Window time.Duration
	Logger *zap.Logger
}

// Measure starts the system, lets it settle and measures the window.
func Measure(ctx context.Context, options Options) (usage Usage, err error) {
	hollow := startHollowEngines(options.Engines, options.Zones)
	defer hollow.close()
	system, err := deployment.Start(ctx, deployment.Options{
		Zones: options.Zones, Nodes: options.Nodes, Engines: realEngines(options), Shards: options.Shards,
		Seed: 1, TimeScale: 1000, Hollow: hollow.engines, Tenants: options.Tenants, Logger: options.Logger,
	})
	if err != nil {
		return Usage{}, err
	}
	defer func() { err = errors.Join(err, system.Close()) }()
	if err := createPrograms(ctx, system, options.Programs); err != nil {
		return Usage{}, err
	}
	if err := sleep(ctx, options.Settle); err != nil {
		return Usage{}, err
	}
	before, err := takeSample(system)
	if err != nil {
		return Usage{}, err
	}
	if err := runWindow(ctx, system, options); err != nil {
		return Usage{}, err
	}
	after, err := takeSample(system)
	if err != nil {
		return Usage{}, err
	}
	usage = usageBetween(before, after, options.Nodes)
	usage.Engines, usage.Tenants, usage.Programs = options.Engines, options.Tenants, options.Programs
	usage.ChangesPerSecond = float64(options.Changes) / options.Window.Seconds()
	return usage, nil
}

// realEngines serve the programs' turns; without programs none is needed.
func realEngines(options Options) int {
	if options.Programs == 0 {
		return 0
	}
	return options.Zones
}

func sleep(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runWindow waits for the window's length and writes the changes meanwhile.
func runWindow(ctx context.Context, system *deployment.Deployment, options Options) error {
	if options.Changes == 0 {
		return sleep(ctx, options.Window)
	}
	client := objectapi.NewClient(system.Platform, http.DefaultClient)
	pause := options.Window / time.Duration(options.Changes)
	for number := range options.Changes {
		if err := changeTenant(ctx, client, number); err != nil {
			return err
		}
		if err := sleep(ctx, pause); err != nil {
			return err
		}
	}
	return nil
}

// changeTenant writes another weight to the deployment's tenant.
func changeTenant(ctx context.Context, client *objectapi.Client, number int) error {
	stored, err := client.Get(ctx, string(configuration.KindTenant), deployment.TenantName)
	if err != nil {
		return err
	}
	var tenant configuration.Tenant
	if err := json.Unmarshal(stored.Body, &tenant); err != nil {
		return err
	}
	tenant.Weight = float64(number%100 + 1)
	body, err := json.Marshal(tenant)
	if err != nil {
		return err
	}
	_, err = client.Put(ctx, stored.Kind, stored.Name, objectapi.IfVersion(stored.Version), body)
	return err
}

// Print writes one row a point.
func Print(out io.Writer, points []Usage) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "nodes\tengines\ttenants\tprograms\tchanges/s\tcore %\tpeer B/s\tengine B/s\tplatform B/s\tall B/s\tMB\tgoroutines\t")
	for _, point := range points {
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t\n",
			point.Nodes, point.Engines, point.Tenants, point.Programs, point.ChangesPerSecond, 100*point.Core,
			point.BytesPerSecond["peer"], point.BytesPerSecond["engine"], point.BytesPerSecond["platform"],
			point.TotalBytes(), point.MemoryMB, point.Goroutines)
	}
	return table.Flush()
}
