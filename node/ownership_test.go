package node

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/state/program"
)

func TestOwnershipIsDecidedAnewWithTheMembership(t *testing.T) {
	var remembered ownership
	answer, asked := true, 0
	decide := func(string) bool { asked++; return answer }
	before, after := new(membership.Members), new(membership.Members)
	for range 3 {
		assert.Assert(t, remembered.owns(before, "engine-1", decide))
	}
	assert.Equal(t, asked, 1)
	answer = false
	assert.Assert(t, remembered.owns(before, "engine-1", decide))
	assert.Assert(t, !remembered.owns(after, "engine-1", decide))
	assert.Equal(t, asked, 2)
}

func TestOwnershipStaysBounded(t *testing.T) {
	var remembered ownership
	members := new(membership.Members)
	for index := range 3 * maxRemembered {
		remembered.owns(members, fmt.Sprint(index), func(string) bool { return true })
		assert.Assert(t, len(remembered.owned) <= maxRemembered)
	}
}

// BenchmarkOwnership passes over all engines, as a round of polls does.
func BenchmarkOwnership(b *testing.B) {
	for _, size := range []struct{ nodes, engines int }{{13, 117}, {100, 900}, {350, 3200}} {
		nodes, engines := names("node", size.nodes), names("engine", size.engines)
		decide := func(engine string) bool {
			best := uint64(0)
			for _, node := range nodes {
				best = max(best, program.Affinity(node, engine))
			}
			return best == program.Affinity(nodes[0], engine)
		}
		b.Run(fmt.Sprintf("decided/nodes=%d/engines=%d", size.nodes, size.engines), func(b *testing.B) {
			for range b.N {
				for _, engine := range engines {
					decide(engine)
				}
			}
		})
		b.Run(fmt.Sprintf("remembered/nodes=%d/engines=%d", size.nodes, size.engines), func(b *testing.B) {
			var remembered ownership
			members := new(membership.Members)
			for range b.N {
				for _, engine := range engines {
					remembered.owns(members, engine, decide)
				}
			}
		})
	}
}

func names(prefix string, count int) []string {
	made := make([]string, count)
	for index := range made {
		made[index] = fmt.Sprintf("%s-%d", prefix, index)
	}
	return made
}
