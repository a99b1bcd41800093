package mirror_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/register"
)

func storageNode(index, zone int) register.Member {
	return register.Member{
		Node: fmt.Sprintf("storage-%d", index), Zone: fmt.Sprintf("zone-%d", zone),
		Address: fmt.Sprintf("10.0.%d.%d:1", zone, index+1),
	}
}

// TestFewNodesFollowStoreDirectly checks that a few nodes, spread over zones, follow the store
// directly and all others follow these, which excludes chains and cycles.
func TestFewNodesFollowStoreDirectly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []register.Member
		zones := make(map[string]bool)
		for index := range rapid.IntRange(1, 70).Draw(t, "nodes") {
			member := storageNode(index, rapid.IntRange(0, 6).Draw(t, "zone"))
			members = append(members, member)
			zones[member.Zone] = true
		}
		direct := make(map[string]register.Member)
		directZones := make(map[string]bool)
		for _, member := range members {
			if len(mirror.Upstreams(member, members, nil)) == 0 {
				direct[member.Address] = member
				directZones[member.Zone] = true
			}
		}
		assert.Equal(t, len(direct), min(len(members), max(3, (len(members)+15)/16)))
		assert.Equal(t, len(directZones), min(len(zones), len(direct)))
		for _, member := range members {
			upstreams := mirror.Upstreams(member, members, nil)
			if len(upstreams) == 0 {
				continue
			}
			assert.Equal(t, len(upstreams), len(direct))
			assert.Equal(t, direct[upstreams[0].String()].Zone == member.Zone, directZones[member.Zone])
			for _, upstream := range upstreams {
				_, isDirect := direct[upstream.String()]
				assert.Assert(t, isDirect, "%s follows through %s, which doesn't follow the store directly", member.Node, upstream)
			}
		}
	})
}

// TestFollowersSpreadOverDirectNodes checks that nodes whose zone has no direct node are
// spread over the direct nodes.
func TestFollowersSpreadOverDirectNodes(t *testing.T) {
	var members []register.Member
	for index := range 36 {
		members = append(members, storageNode(index, index%6))
	}
	followers := make(map[netip.AddrPort]int)
	for _, member := range members {
		if upstreams := mirror.Upstreams(member, members, nil); len(upstreams) > 0 {
			followers[upstreams[0]]++
		}
	}
	assert.Equal(t, len(followers), 3)
	for upstream, count := range followers {
		assert.Assert(t, count <= 16, "%d nodes follow through %s", count, upstream)
	}
}

// TestNonMemberFollowsThroughMembers checks that a node outside all replica sets follows
// through members, whatever its name, and follows the store if there are no members.
func TestNonMemberFollowsThroughMembers(t *testing.T) {
	members := []register.Member{storageNode(1, 0), storageNode(2, 1)}
	assert.Equal(t, len(mirror.Upstreams(storageNode(5, 0), members, nil)), 2)
	assert.Equal(t, len(mirror.Upstreams(storageNode(0, 0), members, nil)), 2)
	assert.Equal(t, len(mirror.Upstreams(storageNode(5, 0), nil, nil)), 0)
}

// TestNodesSpreadOverHoldersOfTheirZone checks that nodes prefer holders of their own zone,
// and not all the same one.
func TestNodesSpreadOverHoldersOfTheirZone(t *testing.T) {
	members := []register.Member{storageNode(0, 1), storageNode(1, 0), storageNode(2, 0), storageNode(3, 1)}
	first := make(map[netip.AddrPort]bool)
	for reader := range 40 {
		ordered := mirror.OrderByZone("zone-0", fmt.Sprint("edge-", reader), members)
		assert.Equal(t, len(ordered), len(members))
		first[ordered[0]] = true
	}
	own := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")}
	for holder := range first {
		assert.Assert(t, slices.Contains(own, holder), "%s is of another zone", holder)
	}
	assert.Equal(t, len(first), len(own))
}
