package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/execution"
)

// configuredService gives the requests of callers the defaults of the limits in
// force, where they name no limits of their own.
type configuredService struct {
	execution.Service
	limits func() configuration.Limits
	now    func() time.Time
}

// Call gives a call without a deadline the default one. The executor shortens a
// deadline beyond the setting call_timeout, so that the stricter of both holds.
func (c configuredService) Call(ctx context.Context, request execution.CallRequest, sink execution.Sink) (execution.Answer, error) {
	if request.Deadline.IsZero() {
		request.Deadline = c.now().Add(c.limits().DefaultDeadline.Std())
	}
	return c.Service.Call(ctx, request, sink)
}

// CreateProgram gives a program without a turn limit the default one.
func (c configuredService) CreateProgram(ctx context.Context, request execution.ProgramRequest) (execution.ProgramView, error) {
	if request.TurnLimit == 0 {
		request.TurnLimit = c.limits().DefaultTurnLimit
		ctx = context.WithValue(ctx, defaultTurnLimitKey{}, request.TurnLimit)
	}
	return c.Service.CreateProgram(ctx, request)
}

// defaultTurnLimitKey is the context key of the default turn limit that a creation
// without one was given.
type defaultTurnLimitKey struct{}

// creationRecords accepts the repeat of a creation after the default turn limit
// has changed. The program keeps the limit that it was created with, and the
// repeat says nothing else than the creation did.
type creationRecords struct {
	execution.Records
}

// Apply implements execution.Records.
func (c creationRecords) Apply(ctx context.Context, root string, change execution.Change) (*statev1.ProgramTree, error) {
	turnLimit, defaulted := ctx.Value(defaultTurnLimitKey{}).(uint32)
	if !defaulted {
		return c.Records.Apply(ctx, root, change)
	}
	return c.Records.Apply(ctx, root, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		if tree == nil {
			return change(nil)
		}
		compared := proto.Clone(tree).(*statev1.ProgramTree)
		compared.TurnLimit = turnLimit
		if _, err := change(compared); err != nil {
			return nil, err
		}
		// A creation changes nothing about a program that exists.
		return tree, nil
	})
}
