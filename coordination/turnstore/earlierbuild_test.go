package turnstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/marblering/marblering/coordination/antientropy"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/test/bubble"
)

// completionTime is within which nodes complete the chains of turns that they store or read
// from the disk: a collection, and a round after it.
const completionTime = 2*collectInterval + antientropy.DefaultInterval

// earlierLink is the cluster as seen by a gateway of a build that doesn't know of missing
// ancestors.
type earlierLink struct {
	*chainCluster
}

func (l earlierLink) PutTurn(ctx context.Context, member register.Member, fence register.Fence, turn replica.Turn) (archive.Reply, error) {
	reply, err := l.chainCluster.PutTurn(ctx, member, fence, turn)
	reply.Missing = nil
	return reply, err
}

// newEarlierChainModel returns a model whose gateways are of an earlier build and whose nodes
// complete chains.
func newEarlierChainModel(t *testing.T, seed uint64) *chainModel {
	c := newChainCluster(t, seed)
	c.completesChains = true
	return newChainModelWith(c, earlierLink{c})
}

// restartAll restarts all nodes with their disks.
func (m *chainModel) restartAll() {
	for _, node := range m.all() {
		m.start(node.member.Node, node.member.Zone, node)
	}
}

// TestChainsOfEarlierGatewaysAreCompleted guards against a turn that is lost with one node, or
// with nothing disturbed, because an earlier build stored its chain in part: a turn of a short
// retention goes while one of a longer retention continues it.
func TestChainsOfEarlierGatewaysAreCompleted(t *testing.T) {
	for _, isRestarted := range []bool{false, true} {
		t.Run(fmt.Sprint("nodes restarted: ", isRestarted), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				m := newEarlierChainModel(t, 1)
				for number := range 24 {
					program := fmt.Sprint("program", number)
					m.takeFor(modelTurn{}, program, chainRetentions[0])
					m.takeFor(m.stored[len(m.stored)-1], fmt.Sprint("program", number+number%2), 10*time.Minute)
				}
				if isRestarted {
					m.restartAll()
				}
				m.pass(3*chainRetentions[0] + 30*time.Second + 2*collectInterval)
				for _, lost := range m.all() {
					m.setCut(lost, true)
					for _, turn := range m.stored {
						if turn.isRetained() {
							m.read(m.uncached, turn.program, turn)
						}
					}
					m.setCut(lost, false)
				}
			})
		})
	}
}

// TestLineOfEarlierGatewaysSurvivesFaults guards against a turn that isn't found within its
// retention though an earlier build stored its chain in part and no two nodes were lost within
// the time in which chains are completed.
func TestLineOfEarlierGatewaysSurvivesFaults(t *testing.T) {
	for seed := range uint64(chainSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				m := newEarlierChainModel(t, seed)
				m.beforeFault = func() { m.pass(completionTime) }
				for range chainSteps {
					m.step()
				}
			})
		})
	}
}
