package node

import (
	"context"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/protocol/operator"
)

// Engines implements operator.Tables. The rows of engines that drain have what is
// left there now; those of the others have what the engine reported last.
func (b *operatorBackend) Engines(ctx context.Context) (operator.Listing[operator.EngineRow], error) {
	known := make(map[string]routing.EngineState)
	for _, state := range b.node.fleet.Engines() {
		known[state.Name] = state
	}
	var listing operator.Listing[operator.EngineRow]
	var draining []*operator.EngineRow
	for _, engine := range b.node.holder.Current().Engines() {
		listing.Rows = append(listing.Rows, b.engineRow(engine, known[engine.Name]))
	}
	for index := range listing.Rows {
		if listing.Rows[index].State == operator.StateDraining {
			draining = append(draining, &listing.Rows[index])
		}
	}
	if len(draining) == 0 {
		return listing, nil
	}
	var err error
	listing.Incomplete, err = b.followDrains(ctx, draining)
	return listing, err
}

func (b *operatorBackend) engineRow(engine *configuration.Engine, known routing.EngineState) operator.EngineRow {
	row := operator.EngineRow{
		Name:              engine.Name,
		Pool:              engine.Pool,
		Zone:              engine.Zone,
		Generation:        engine.Generation,
		Role:              string(engine.Role),
		State:             engineStateOf(engine, known),
		Models:            engine.Models,
		Adapters:          engine.Adapters,
		Running:           known.Running,
		Waiting:           known.Waiting,
		OutstandingTokens: known.OutstandingTokens,
		CacheUsedTokens:   known.CacheUsed,
		CacheLimitTokens:  known.CacheLimit,
		Address:           engine.Address,
		Version:           b.version(configuration.KindEngine, engine.Name),
	}
	if !known.ReportedAt.IsZero() {
		row.LoadAge = b.now().Sub(known.ReportedAt)
	}
	return row
}

func engineStateOf(engine *configuration.Engine, known routing.EngineState) string {
	switch {
	case engine.Stopped:
		return operator.StateStopped
	case engine.Draining:
		return operator.StateDraining
	case known.Leaving:
		return operator.StateLeaving
	case known.Ejected:
		return operator.StateEjected
	}
	return operator.StateServing
}

// version returns the version of an object of the configuration; 0 where there is
// none.
func (b *operatorBackend) version(kind configuration.Kind, name string) uint64 {
	object, _ := b.node.holder.Current().Object(configuration.Key{Kind: kind, Name: name})
	return object.Version
}

// Pools implements operator.Tables.
func (b *operatorBackend) Pools(ctx context.Context) (operator.Listing[operator.PoolRow], error) {
	engines, err := b.Engines(ctx)
	listing := operator.Listing[operator.PoolRow]{Incomplete: engines.Incomplete}
	for _, pool := range b.node.holder.Current().Pools() {
		row := poolRow(pool, engines.Rows)
		row.Version = b.version(configuration.KindPool, pool.Name)
		listing.Rows = append(listing.Rows, row)
	}
	return listing, err
}

// poolRow counts the pool's engines among those given.
func poolRow(pool *configuration.Pool, engines []operator.EngineRow) operator.PoolRow {
	row := operator.PoolRow{
		Name:           pool.Name,
		Zones:          pool.Zones,
		Models:         pool.Models,
		MinimumEngines: pool.MinimumEngines,
	}
	for _, role := range pool.Roles {
		row.Roles = append(row.Roles, string(role))
	}
	for _, engine := range engines {
		if engine.Pool != pool.Name {
			continue
		}
		row.Engines++
		if engine.State == operator.StateServing {
			row.ServingEngines++
		}
	}
	return row
}

// Configuration implements operator.Tables.
func (b *operatorBackend) Configuration(context.Context) (operator.Listing[operator.ConfigurationRow], error) {
	var listing operator.Listing[operator.ConfigurationRow]
	for _, object := range b.node.holder.Current().Objects(0) {
		writer := configuration.Writer(object.Body)
		listing.Rows = append(listing.Rows, operator.ConfigurationRow{
			Kind:     string(object.Kind),
			Name:     object.Name,
			Version:  object.Version,
			Operator: writer.Operator,
			Command:  writer.CommandID,
			Body:     string(object.Body),
		})
	}
	return listing, nil
}
