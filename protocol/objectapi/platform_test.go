package objectapi_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/lab/objectstore"
	"github.com/marblering/marblering/protocol/objectapi"
	"github.com/marblering/marblering/state/result"
)

// loneNode is a node without peers or shards.
type loneNode struct{ configuration.Peers }

func (loneNode) Self() configuration.Peer               { return configuration.Peer{} }
func (loneNode) Live() []configuration.Peer             { return nil }
func (loneNode) ReplicaSets() configuration.ReplicaSets { return configuration.ReplicaSets{} }

func newAcceptor(t *testing.T, p *platform) *configuration.Acceptor {
	agent, err := configuration.NewAgent(configuration.AgentOptions{
		Platform: objectapi.NewPlatform(p.client, 0), Peers: loneNode{}, Members: loneNode{},
		Holder: configuration.NewHolder(), Logger: zap.NewNop(), Random: rand.New(rand.NewPCG(1, 1)),
	})
	assert.NilError(t, err)
	return configuration.NewAcceptor(configuration.AcceptorOptions{Agent: agent})
}

func nodeChange(commandID string, expected uint64) configuration.Change {
	return configuration.Change{
		Key: configuration.Key{Kind: configuration.KindNode, Name: "n"}, Expected: expected,
		Body: json.RawMessage(`{"draining":true}`), CommandID: commandID, Operator: "ann",
	}
}

func codeOf(err error) result.Code {
	var failure *result.Error
	if errors.As(err, &failure) {
		return failure.Code
	}
	return result.OK
}

func TestAcceptorUsesObjectAPI(t *testing.T) {
	p, ctx := newPlatform(t), testContext(t)
	acceptor := newAcceptor(t, p)

	p.setDown(true)
	_, err := acceptor.Accept(ctx, nodeChange("c0", 0))
	assert.Equal(t, codeOf(err), result.PlatformUnavailable)
	p.setDown(false)

	// The responses to both writes, of the command's record and its object, are lost.
	p.dropResponses(2)
	first, err := acceptor.Accept(ctx, nodeChange("c1", 0))
	assert.NilError(t, err)
	repeated, err := acceptor.Accept(ctx, nodeChange("c1", 0))
	assert.NilError(t, err)
	assert.Assert(t, repeated.Repeated && repeated.Version == first.Version)
	_, err = acceptor.Accept(ctx, nodeChange("c2", 0))
	assert.Equal(t, codeOf(err), result.VersionConflict)
	assert.ErrorContains(t, err, "written by command c1 of operator ann")

	removal := nodeChange("c3", first.Version)
	removal.Remove = true
	_, err = acceptor.Accept(ctx, removal)
	assert.NilError(t, err)
	_, err = acceptor.Accept(ctx, nodeChange("c4", first.Version))
	assert.Equal(t, codeOf(err), result.UnknownObject)
	p.store.SetFaults(objectstore.Faults{Compact: true})
	_, err = newAcceptor(t, p).Accept(ctx, nodeChange("c5", 0))
	assert.NilError(t, err)
}

func TestConcurrentCommandsHaveOneWinner(t *testing.T) {
	p, ctx := newPlatform(t), testContext(t)
	const commandCount = 6
	errs := make([]error, commandCount)
	var group sync.WaitGroup
	for index := range commandCount {
		acceptor := newAcceptor(t, p)
		group.Go(func() {
			_, errs[index] = acceptor.Accept(context.WithoutCancel(ctx), nodeChange(fmt.Sprint("c", index), 0))
		})
	}
	group.Wait()
	winners := 0
	for _, err := range errs {
		if err == nil {
			winners++
			continue
		}
		assert.Equal(t, codeOf(err), result.VersionConflict, "%v", err)
	}
	assert.Equal(t, winners, 1)
}
