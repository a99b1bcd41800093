package scale

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/protocol/objectapi"
)

// versionPause is the pause between two looks at the nodes' versions.
const versionPause = 250 * time.Millisecond

// runWindow waits for the window's length and writes the changes meanwhile. It
// returns the longest time until a change was in force at every node.
func runWindow(ctx context.Context, platform string, groups []*group, options Options) (slowest time.Duration, err error) {
	if options.Changes == 0 {
		return 0, sleep.For(ctx, options.Window)
	}
	client := objectapi.NewClient(platform, http.DefaultClient)
	ticker := time.NewTicker(options.Window / time.Duration(options.Changes))
	defer ticker.Stop()
	for number := range options.Changes {
		version, err := changeTenant(ctx, client, number)
		if err != nil {
			return 0, err
		}
		written := time.Now()
		if err := awaitVersion(ctx, groups, version); err != nil {
			return 0, err
		}
		slowest = max(slowest, time.Since(written))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return slowest, nil
}

// awaitVersion returns once the version is in force at every node.
func awaitVersion(ctx context.Context, groups []*group, version uint64) error {
	var waiting errgroup.Group
	for _, started := range groups {
		waiting.Go(func() error {
			for {
				reply, err := started.exchange(groupRequest{Kind: requestVersion})
				if err != nil || reply.Version >= version {
					return err
				}
				if err := sleep.For(ctx, versionPause); err != nil {
					return err
				}
			}
		})
	}
	return waiting.Wait()
}

// changeTenant writes another weight to the deployment's tenant.
func changeTenant(ctx context.Context, client *objectapi.Client, number int) (version uint64, err error) {
	stored, err := client.Get(ctx, string(configuration.KindTenant), deployment.TenantName)
	if err != nil {
		return 0, err
	}
	var tenant configuration.Tenant
	if err := json.Unmarshal(stored.Body, &tenant); err != nil {
		return 0, err
	}
	tenant.Weight = float64(number%100 + 1)
	body, err := json.Marshal(tenant)
	if err != nil {
		return 0, err
	}
	written, err := client.Put(ctx, stored.Kind, stored.Name, objectapi.IfVersion(stored.Version), body)
	if err != nil {
		return 0, err
	}
	return written.Version, nil
}

// shardMapKB is the size of the object's body.
func shardMapKB(ctx context.Context, platform string) (float64, error) {
	client := objectapi.NewClient(platform, http.DefaultClient)
	stored, err := client.Get(ctx, string(configuration.KindShardMap), configuration.SingletonName)
	if err != nil {
		return 0, err
	}
	return float64(len(stored.Body)) / 1024, nil
}
