package operator

import (
	"context"

	"github.com/marblering/marblering/coordination/configuration"
)

// Hint narrows which rows are asked for. A table may leave out the other rows but
// needn't.
type Hint struct {
	// Program is the id of the only program of interest; empty for all.
	Program string
	// Tenant is the only tenant of interest; empty for all.
	Tenant string
}

// Tables give what the node knows of the system. A row that can't be read, such as
// that of a shard without a quorum, is left out; Incomplete then says so.
type Tables interface {
	Programs(ctx context.Context, hint Hint) (Listing[ProgramRow], error)
	Calls(ctx context.Context, hint Hint) (Listing[CallRow], error)
	Engines(ctx context.Context) (Listing[EngineRow], error)
	Pools(ctx context.Context) (Listing[PoolRow], error)
	Nodes(ctx context.Context) (Listing[NodeRow], error)
	Shards(ctx context.Context) (Listing[ShardRow], error)
	Configuration(ctx context.Context) (Listing[ConfigurationRow], error)
	// Decisions returns the recent choices of engines for the program by all
	// nodes that answer, oldest first.
	Decisions(ctx context.Context, program string) (Listing[Decision], error)
}

// Changes carries out commands.
type Changes interface {
	// Get returns an object as the object API has it now. One that doesn't exist
	// is Deleted. It is the Get of configuration.Platform.
	Get(ctx context.Context, key configuration.Key) (configuration.Object, error)
	// Accept checks a change, writes it where the object has the expected
	// version, and puts it in force. It is the Accept of configuration.Acceptor.
	Accept(ctx context.Context, change configuration.Change) (configuration.Accepted, error)
	// EndProgram ends a program of any tenant. Ending a program that has ended
	// does nothing. Errors are of type *result.Error.
	EndProgram(ctx context.Context, program, reason string) error
}

// Backend is what a node offers to the interpreter.
type Backend interface {
	Tables
	Changes
}
