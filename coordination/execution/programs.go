package execution

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"

	"github.com/google/uuid"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/result"
)

const (
	programIDPrefix = "p-"
	// programIDHexDigits of a SHA-256 digest make an id: 128 bits.
	programIDHexDigits = 32
)

// CreateProgram creates a program tree. With a key the id is a function of
// tenant and key, so that a repeat finds the program that the first made.
func (e *Executor) CreateProgram(ctx context.Context, request ProgramRequest) (ProgramView, error) {
	if err := e.checkModel(request.Model, request.Adapter); err != nil {
		return ProgramView{}, err
	}
	if request.BudgetTokens == 0 {
		return ProgramView{}, result.Errorf(result.BadRequest, "budget_tokens must be at least 1")
	}
	root := newProgramID(request.Tenant, request.Key)
	created := program.New(program.Specification{
		Root:          root,
		Tenant:        request.Tenant,
		Model:         request.Model,
		Adapter:       request.Adapter,
		BudgetTokens:  request.BudgetTokens,
		Priority:      request.Priority,
		IdleLimitMS:   request.IdleLimit.Milliseconds(),
		TurnLimit:     request.TurnLimit,
		CreatedUnixMS: e.nowUnixMS(),
	})
	tree, err := e.Records.Apply(ctx, root, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		if tree == nil {
			return created, nil
		}
		if !sameSpecification(tree, created) {
			return nil, result.Errorf(result.KeyConflict, "key %q created program %q with other values", request.Key, root)
		}
		return tree, nil
	})
	if err != nil {
		return ProgramView{}, recordError(err)
	}
	return view(tree, root), nil
}

func (e *Executor) checkModel(model, adapter string) error {
	if _, found := e.Catalog.Model(model); !found {
		return result.Errorf(result.UnknownModel, "no model %q in the configuration", model)
	}
	if adapter != "" && !e.Catalog.Adapter(adapter, model) {
		return result.Errorf(result.UnknownModel, "no adapter %q for model %q in the configuration", adapter, model)
	}
	return nil
}

func sameSpecification(existing, created *statev1.ProgramTree) bool {
	return existing.GetTenant() == created.GetTenant() &&
		existing.GetModel() == created.GetModel() &&
		existing.GetAdapter() == created.GetAdapter() &&
		existing.GetBudget().GetLimit() == created.GetBudget().GetLimit() &&
		existing.GetPriority() == created.GetPriority() &&
		existing.GetIdleLimitMs() == created.GetIdleLimitMs() &&
		existing.GetTurnLimit() == created.GetTurnLimit()
}

func newProgramID(tenant, key string) string {
	if key == "" {
		return programIDPrefix + uuid.NewString()
	}
	digest := sha256.Sum256([]byte(tenant + "\x00" + key))
	return programIDPrefix + hex.EncodeToString(digest[:])[:programIDHexDigits]
}

// CreateChild creates a sub-program that shares its tree's budget.
func (e *Executor) CreateChild(ctx context.Context, request ChildRequest) (ProgramView, error) {
	key := request.Key
	if key == "" {
		// A key of our own makes the change safe to apply twice.
		key = uuid.NewString()
	}
	childID := ""
	tree, err := e.applyExisting(ctx, request.Parent, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		child, _, err := program.Child(tree, request.Tenant, request.Parent, key, e.nowUnixMS())
		if err != nil {
			return nil, err
		}
		childID = child.GetId()
		return tree, nil
	})
	if err != nil {
		return ProgramView{}, err
	}
	return view(tree, childID), nil
}

// ReadProgram returns the program as the record holds it.
func (e *Executor) ReadProgram(ctx context.Context, tenant, id string) (ProgramView, error) {
	tree, err := e.applyExisting(ctx, id, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		_, err := program.Access(tree, tenant, id)
		return tree, err
	})
	if err != nil {
		return ProgramView{}, err
	}
	return view(tree, id), nil
}

// EndProgram ends the program and its sub-programs. Ending an ended one changes
// nothing.
func (e *Executor) EndProgram(ctx context.Context, tenant, id, reason string) (ProgramView, error) {
	tree, err := e.applyExisting(ctx, id, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		if _, err := program.Access(tree, tenant, id); err != nil {
			return nil, err
		}
		program.End(tree, id, reason, e.nowUnixMS())
		return tree, nil
	})
	if err != nil {
		return ProgramView{}, err
	}
	e.settling.Add(1)
	go func() {
		defer e.settling.Done()
		e.ReleaseHolds(context.WithoutCancel(ctx), tree)
	}()
	return view(tree, id), nil
}

// applyExisting changes the tree of the program, which must exist.
func (e *Executor) applyExisting(ctx context.Context, id string, change Change) (*statev1.ProgramTree, error) {
	if !program.ValidID(id) {
		return nil, result.Errorf(result.UnknownProgram, "%q can't name a program", id)
	}
	tree, err := e.Records.Apply(ctx, program.RootOf(id), func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		if tree == nil {
			return nil, result.Errorf(result.UnknownProgram, "no program %q", id)
		}
		return change(tree)
	})
	return tree, recordError(err)
}

// noQuorumRetry is when another try makes sense after a replica set didn't
// answer: about the time it takes to notice a dead member and replace it.
const noQuorumRetry = 2 * unresolvedRetry

// recordError translates the errors of the record store for callers.
func recordError(err error) error {
	var known *result.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &known):
		return known
	case errors.Is(err, register.ErrNoQuorum):
		return result.Errorf(result.NoQuorum, "%v", err).WithRetryAfter(noQuorumRetry)
	default:
		return unresolved("the program's record: %v", err)
	}
}

func view(tree *statev1.ProgramTree, id string) ProgramView {
	target := program.Find(tree, id)
	return ProgramView{
		ID:             id,
		Parent:         target.GetParent(),
		Tenant:         tree.GetTenant(),
		Model:          tree.GetModel(),
		Adapter:        tree.GetAdapter(),
		BudgetTokens:   tree.GetBudget().GetLimit(),
		ReservedTokens: tree.GetBudget().GetReserved(),
		SpentTokens:    tree.GetBudget().GetSpent(),
		NextSequence:   target.GetNextSequence(),
		Turns:          target.GetTurns(),
		HistoryTokens:  target.GetHistoryTokens(),
		Ended:          target.GetEnded(),
		EndReason:      target.GetEndReason(),
		Priority:       tree.GetPriority(),
	}
}
