package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/execution"
)

// configuredService puts the limits object's defaults into the requests that
// leave them open.
type configuredService struct {
	execution.Service
	limits func() configuration.Limits
	now    func() time.Time
}

// Call gives a call without a deadline the default one. The executor shortens
// deadlines beyond the settings' call_timeout, so that the stricter rules.
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

// defaultTurnLimitKey marks the context of a creation that named no turn limit.
type defaultTurnLimitKey struct{}

// creationRecords lets a creation be repeated after the default turn limit has
// changed: the program keeps the limit that it was created with, and differs
// from the repeat in nothing that the caller said.
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
