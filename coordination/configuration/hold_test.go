package configuration

import (
	"errors"
	"math/rand/v2"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// TestInstallationIsHeldBeforeItIsAcknowledged installs a version at a node that
// can't make it binding, and at one that can.
func TestInstallationIsHeldBeforeItIsAcknowledged(t *testing.T) {
	w := newWorld(1, 1, 0)
	defer w.close()
	var failure error
	var held []uint64
	holder := NewHolder()
	agent, err := NewAgent(AgentOptions{
		Members: w.nodes[0], Holder: holder, Logger: zap.NewNop(), Random: rand.New(rand.NewPCG(1, 1)),
		Hold: func() error {
			held = append(held, holder.Version())
			return failure
		},
	})
	assert.NilError(t, err)
	update := Update{Version: 7, Objects: objectsOf(7, fixture()), Complete: true}

	failure = errors.New("the disk is full")
	_, err = agent.Install(update)
	assert.ErrorIs(t, err, failure)

	failure = nil
	got, err := agent.Install(update)
	assert.NilError(t, err)
	assert.Equal(t, got.Version, uint64(7))
	assert.DeepEqual(t, held, []uint64{7, 7})
}
