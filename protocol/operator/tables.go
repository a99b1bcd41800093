package operator

import (
	"context"
	"strconv"
	"time"
)

// allTables returns the tables of the language in the order of the reference.
func allTables() []*table {
	return []*table{
		programsTable(), callsTable(), enginesTable(), poolsTable(),
		nodesTable(), shardsTable(), configurationTable(),
	}
}

func programsTable() *table {
	type row = ProgramRow
	return newTable("programs",
		func(ctx context.Context, backend Tables, hint Hint) (Listing[row], error) {
			return backend.Programs(ctx, hint)
		},
		text("id", func(r row) string { return r.ID }),
		text("tenant", func(r row) string { return r.Tenant }),
		text("model", func(r row) string { return r.Model }),
		text("adapter", func(r row) string { return r.Adapter }),
		text("state", func(r row) string { return r.State }),
		integer("turns", func(r row) uint64 { return r.Turns }),
		integer("history_tokens", func(r row) uint64 { return r.HistoryTokens }),
		integer("budget_tokens", func(r row) uint64 { return r.BudgetTokens }),
		integer("reserved_tokens", func(r row) uint64 { return r.ReservedTokens }),
		integer("spent_tokens", func(r row) uint64 { return r.SpentTokens }),
		duration("idle", func(r row) time.Duration { return r.Idle }),
		list("holds", func(r row) []string { return r.Holds }),
		text("parent", func(r row) string { return r.Parent }),
		integer("priority", func(r row) uint32 { return r.Priority }),
		integer("next_sequence", func(r row) uint64 { return r.NextSequence }),
		integer("shard", func(r row) uint32 { return r.Shard }),
		text("node", func(r row) string { return r.Node }),
		text("end_reason", func(r row) string { return r.EndReason }),
	)
}

// CallID returns the id by which operators name a call: "PROGRAM/SEQUENCE".
func CallID(program string, sequence uint64) string {
	return program + "/" + strconv.FormatUint(sequence, 10)
}

func callsTable() *table {
	type row = CallRow
	return newTable("calls",
		func(ctx context.Context, backend Tables, hint Hint) (Listing[row], error) {
			return backend.Calls(ctx, hint)
		},
		text("id", func(r row) string { return CallID(r.Program, r.Sequence) }),
		text("program", func(r row) string { return r.Program }),
		integer("sequence", func(r row) uint64 { return r.Sequence }),
		text("tenant", func(r row) string { return r.Tenant }),
		text("model", func(r row) string { return r.Model }),
		text("state", func(r row) string { return r.State }),
		text("engine", func(r row) string { return r.Engine }),
		text("node", func(r row) string { return r.Node }),
		integer("attempt", func(r row) uint32 { return r.Attempt }),
		boolean("repeatable", func(r row) bool { return r.Repeatable }),
		integer("prompt_tokens", func(r row) uint64 { return r.PromptTokens }),
		integer("output_tokens", func(r row) uint64 { return r.OutputTokens }),
		text("result", func(r row) string { return r.Result }),
	)
}

func enginesTable() *table {
	type row = EngineRow
	return newTable("engines", unhinted(Tables.Engines),
		text("name", func(r row) string { return r.Name }),
		text("pool", func(r row) string { return r.Pool }),
		text("zone", func(r row) string { return r.Zone }),
		text("generation", func(r row) string { return r.Generation }),
		text("role", func(r row) string { return r.Role }),
		text("state", func(r row) string { return r.State }),
		list("models", func(r row) []string { return r.Models }),
		list("adapters", func(r row) []string { return r.Adapters }),
		integer("running", func(r row) int { return r.Running }),
		integer("waiting", func(r row) int { return r.Waiting }),
		integer("outstanding_tokens", func(r row) uint64 { return r.OutstandingTokens }),
		integer("cache_used_tokens", func(r row) uint64 { return r.CacheUsedTokens }),
		integer("cache_limit_tokens", func(r row) uint64 { return r.CacheLimitTokens }),
		duration("load_age", func(r row) time.Duration { return r.LoadAge }),
		text("address", func(r row) string { return r.Address }),
		integer("version", func(r row) uint64 { return r.Version }),
	)
}

func poolsTable() *table {
	type row = PoolRow
	return newTable("pools", unhinted(Tables.Pools),
		text("name", func(r row) string { return r.Name }),
		list("zones", func(r row) []string { return r.Zones }),
		list("models", func(r row) []string { return r.Models }),
		list("roles", func(r row) []string { return r.Roles }),
		integer("minimum_engines", func(r row) uint32 { return r.MinimumEngines }),
		integer("engines", func(r row) int { return r.Engines }),
		integer("serving", func(r row) int { return r.ServingEngines }),
		integer("version", func(r row) uint64 { return r.Version }),
	)
}

func nodesTable() *table {
	type row = NodeRow
	return newTable("nodes", unhinted(Tables.Nodes),
		text("name", func(r row) string { return r.Name }),
		text("zone", func(r row) string { return r.Zone }),
		text("state", func(r row) string { return r.State }),
		integer("calls", func(r row) int { return r.Calls }),
		integer("shards", func(r row) int { return r.Shards }),
		boolean("data_folder", func(r row) bool { return r.DataFolder }),
		integer("configuration", func(r row) uint64 { return r.ConfigurationVersion }),
		duration("age", func(r row) time.Duration { return r.Age }),
		text("incarnation", func(r row) string { return r.Incarnation }),
		text("address", func(r row) string { return r.Address }),
		integer("version", func(r row) uint64 { return r.Version }),
	)
}

func shardsTable() *table {
	type row = ShardRow
	return newTable("shards", unhinted(Tables.Shards),
		integer("shard", func(r row) uint32 { return r.Shard }),
		integer("epoch", func(r row) uint64 { return r.Epoch }),
		list("replicas", func(r row) []string { return r.Replicas }),
		list("zones", func(r row) []string { return r.Zones }),
		integer("live_replicas", func(r row) int { return r.LiveReplicas }),
		integer("programs", func(r row) uint64 { return r.Programs }),
	)
}

func configurationTable() *table {
	type row = ConfigurationRow
	return newTable("configuration", unhinted(Tables.Configuration),
		text("kind", func(r row) string { return r.Kind }),
		text("name", func(r row) string { return r.Name }),
		integer("version", func(r row) uint64 { return r.Version }),
		text("operator", func(r row) string { return r.Operator }),
		text("command", func(r row) string { return r.Command }),
		text("body", func(r row) string { return r.Body }),
	)
}
