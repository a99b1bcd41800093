package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/fleet"
	"github.com/marblering/marblering/protocol/objectapi"
	"github.com/marblering/marblering/protocol/operator"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/telemetry"
)

// recordRetry is the pause that an operator is asked for where the record of a program
// can't be read.
const recordRetry = 2 * time.Second

// operatorBackend gives the operators' language what this node knows and the
// changes that it can carry out. Operators may ask any node.
type operatorBackend struct {
	*configuration.Acceptor
	node     *Node
	platform configuration.Platform
	// engines asks an engine that drains what it has left.
	engines fleet.Reporter
	now     func() time.Time
}

var _ operator.Backend = (*operatorBackend)(nil)

// operatorMux serves the operators' API, metrics and health.
func operatorMux(monitoring, statements http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", monitoring)
	mux.Handle(operator.Path, statements)
	return mux
}

// monitoring serves metrics and health.
func (n *Node) monitoring() http.Handler { return telemetry.NewHandler(n.metrics, n.readiness) }

// operatorHandler makes the handler of statements of the operators' language.
func (n *Node) operatorHandler(platform *objectapi.Client, engines fleet.Reporter) http.Handler {
	return operator.NewHandler(operator.NewInterpreter(operator.Options{
		Backend: &operatorBackend{
			Acceptor: n.acceptor,
			node:     n,
			platform: objectapi.NewPlatform(platform, watchSilence),
			engines:  engines,
			now:      time.Now,
		},
		Logger:       n.logger,
		NewCommandID: uuid.NewString,
		Now:          time.Now,
	}))
}

// Get implements operator.Changes.
func (b *operatorBackend) Get(ctx context.Context, key configuration.Key) (configuration.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, b.node.settings.ObjectAPITimeout)
	defer cancel()
	return b.platform.Get(ctx, key)
}

// EndProgram implements operator.Changes.
func (b *operatorBackend) EndProgram(ctx context.Context, id, reason string) error {
	tree, err := b.readTree(ctx, id)
	if err != nil {
		return err
	}
	_, err = b.node.executor.EndProgram(ctx, tree.GetTenant(), id, reason)
	return err
}

// readTree reads the record that the program belongs to from a quorum.
func (b *operatorBackend) readTree(ctx context.Context, id string) (*statev1.ProgramTree, error) {
	if !program.ValidID(id) {
		return nil, result.Errorf(result.UnknownProgram, "%q can't name a program", id)
	}
	tree, err := b.node.records.Apply(ctx, program.RootOf(id), func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		if tree == nil || program.Find(tree, id) == nil {
			return nil, result.Errorf(result.UnknownProgram, "no program %q", id)
		}
		return tree, nil
	})
	var known *result.Error
	if err != nil && !errors.As(err, &known) {
		return nil, result.Errorf(result.NoQuorum, "reading the record of program %q: %v", id, err).WithRetryAfter(recordRetry)
	}
	return tree, err
}
