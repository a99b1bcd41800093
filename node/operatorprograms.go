package node

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/record"
	"github.com/marblering/marblering/protocol/operator"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/result"
)

// maxListedTrees bounds the records that one statement reads.
const maxListedTrees = 20_000

// errEnoughTrees ends a listing at its bound.
var errEnoughTrees = merry.Sentinel("enough records")

// callStates names the states of calls.
var callStates = map[statev1.CallState]string{
	statev1.CallState_CALL_STATE_DISPATCHED: "dispatched",
	statev1.CallState_CALL_STATE_FINISHED:   "finished",
	statev1.CallState_CALL_STATE_FAILED:     "failed",
	statev1.CallState_CALL_STATE_REFUSED:    "refused",
}

// Programs implements operator.Tables.
func (b *operatorBackend) Programs(ctx context.Context, hint operator.Hint) (operator.Listing[operator.ProgramRow], error) {
	var listing operator.Listing[operator.ProgramRow]
	trees, incomplete, err := b.trees(ctx, hint)
	listing.Incomplete = incomplete
	for _, tree := range trees {
		for _, member := range tree.GetPrograms() {
			listing.Rows = append(listing.Rows, b.programRow(tree, member))
		}
	}
	return listing, err
}

// Calls implements operator.Tables.
func (b *operatorBackend) Calls(ctx context.Context, hint operator.Hint) (operator.Listing[operator.CallRow], error) {
	var listing operator.Listing[operator.CallRow]
	trees, incomplete, err := b.trees(ctx, hint)
	listing.Incomplete = incomplete
	for _, tree := range trees {
		for _, member := range tree.GetPrograms() {
			for _, call := range member.GetCalls() {
				listing.Rows = append(listing.Rows, b.callRow(tree, member, call))
			}
		}
	}
	return listing, err
}

// trees returns the record of the hint's program as a quorum has it. For a hint
// without a program it returns this node's copies.
func (b *operatorBackend) trees(ctx context.Context, hint operator.Hint) (trees []*statev1.ProgramTree, incomplete string, err error) {
	if hint.Program == "" {
		return b.copies(ctx, func(tree *statev1.ProgramTree) bool {
			return hint.Tenant == "" || tree.GetTenant() == hint.Tenant
		})
	}
	tree, err := b.readTree(ctx, hint.Program)
	var failure *result.Error
	switch {
	case err == nil:
		return []*statev1.ProgramTree{tree}, "", nil
	case errors.As(err, &failure) && failure.Code == result.UnknownProgram:
		return nil, "", nil
	case errors.As(err, &failure):
		return nil, failure.Message, nil
	}
	return nil, "", err
}

// copies returns this node's copies of the wanted records. They may be out of date,
// and the records of shards without a replica here are missing.
func (b *operatorBackend) copies(ctx context.Context, wanted func(*statev1.ProgramTree) bool) (trees []*statev1.ProgramTree, incomplete string, err error) {
	for number := range b.node.replica.Shards() {
		err := b.node.replica.EachRecord(number, func(root string, value []byte) error {
			tree, err := record.Decode(root, value)
			if err != nil || ctx.Err() != nil {
				return errors.Join(err, ctx.Err())
			}
			if tree != nil && wanted(tree) {
				trees = append(trees, tree)
			}
			if len(trees) == maxListedTrees {
				return errEnoughTrees
			}
			return nil
		})
		if errors.Is(err, errEnoughTrees) {
			return trees, fmt.Sprintf("only the first %d records were taken up", maxListedTrees), nil
		}
		if err != nil {
			return nil, "", merry.Prependf(err, "reading this node's copies of shard %d", number)
		}
	}
	if here, all := b.node.replicatedShards(), b.node.replica.Shards(); here < int(all) {
		incomplete = fmt.Sprintf("node %s has copies of %d of %d shards", b.node.settings.Name, here, all)
	}
	return trees, incomplete, nil
}

func (b *operatorBackend) programRow(tree *statev1.ProgramTree, member *statev1.Program) operator.ProgramRow {
	row := operator.ProgramRow{
		ID:             member.GetId(),
		Parent:         member.GetParent(),
		Tenant:         tree.GetTenant(),
		Model:          tree.GetModel(),
		Adapter:        tree.GetAdapter(),
		State:          operator.ProgramIdle,
		EndReason:      member.GetEndReason(),
		Priority:       tree.GetPriority(),
		BudgetTokens:   tree.GetBudget().GetLimit(),
		ReservedTokens: tree.GetBudget().GetReserved(),
		SpentTokens:    tree.GetBudget().GetSpent(),
		NextSequence:   member.GetNextSequence(),
		Turns:          member.GetTurns(),
		HistoryTokens:  member.GetHistoryTokens(),
		Shard:          b.node.views.Locate(member.GetId()),
		Idle:           b.now().Sub(time.UnixMilli(tree.GetLastActiveUnixMs())),
	}
	if running := program.Running(member); running != nil {
		row.State = operator.ProgramRunning
		row.Node = b.executorNode(running)
	}
	if member.GetEnded() {
		row.State = operator.ProgramEnded
	}
	for _, hold := range tree.GetHolds() {
		if hold.GetProgram() == member.GetId() {
			row.Holds = append(row.Holds, hold.GetEngine())
		}
	}
	return row
}

func (b *operatorBackend) callRow(tree *statev1.ProgramTree, member *statev1.Program, call *statev1.Call) operator.CallRow {
	row := operator.CallRow{
		Program:      member.GetId(),
		Sequence:     call.GetSequence(),
		Tenant:       tree.GetTenant(),
		Model:        tree.GetModel(),
		State:        callStates[call.GetState()],
		Attempt:      call.GetAttempt(),
		Repeatable:   call.GetRepeatable(),
		Engine:       call.GetEngine(),
		Node:         b.executorNode(call),
		PromptTokens: call.GetPromptTokens(),
		OutputTokens: call.GetOutputTokens(),
	}
	if code := result.Code(call.GetResultCode()); code != 0 {
		row.Result = code.String()
	}
	return row
}

// executorNode returns the name of the node that runs the call, or its incarnation
// where the membership has forgotten it.
func (b *operatorBackend) executorNode(call *statev1.Call) string {
	incarnation, _, _ := strings.Cut(call.GetExecutor(), identitySeparator)
	member, found := b.node.membership.Members().Incarnation(incarnation)
	if !found {
		return incarnation
	}
	return member.Node
}
