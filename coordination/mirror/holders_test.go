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

// TestOneStorageNodeOfAZoneAsksTheStore: the others follow through nodes that ask
// it themselves, that of their own zone first, so that no chain is longer and none
// is a ring.
func TestOneStorageNodeOfAZoneAsksTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []register.Member
		for index := range rapid.IntRange(1, 12).Draw(t, "nodes") {
			members = append(members, storageNode(index, rapid.IntRange(0, 4).Draw(t, "zone")))
		}
		asking := make(map[string]register.Member)
		zones := make(map[string]bool)
		for _, member := range members {
			zones[member.Zone] = true
			if len(mirror.Upstreams(member, members, nil)) == 0 {
				asking[member.Address] = member
			}
		}
		assert.Equal(t, len(asking), len(zones))
		for _, member := range members {
			upstreams := mirror.Upstreams(member, members, nil)
			if len(upstreams) == 0 {
				continue
			}
			assert.Equal(t, len(upstreams), len(zones))
			assert.Equal(t, asking[upstreams[0].String()].Zone, member.Zone)
			for _, upstream := range upstreams {
				_, asks := asking[upstream.String()]
				assert.Assert(t, asks, "%s follows through %s, which follows through others", member.Node, upstream)
			}
		}
	})
}

// TestNodeOutsideTheSetsHasUpstreams, unless it is the first of its zone.
func TestNodeOutsideTheSetsHasUpstreams(t *testing.T) {
	members := []register.Member{storageNode(1, 0), storageNode(2, 1)}
	assert.Equal(t, len(mirror.Upstreams(storageNode(5, 0), members, nil)), 2)
	assert.Equal(t, len(mirror.Upstreams(storageNode(0, 0), members, nil)), 0)
	assert.Equal(t, len(mirror.Upstreams(storageNode(5, 0), nil, nil)), 0)
}

// TestNodesOfAZoneSpreadOverItsHolders, and ask those of other zones last.
func TestNodesOfAZoneSpreadOverItsHolders(t *testing.T) {
	members := []register.Member{storageNode(0, 1), storageNode(1, 0), storageNode(2, 0), storageNode(3, 1)}
	heads := make(map[netip.AddrPort]bool)
	for reader := range 40 {
		ordered := mirror.Near("zone-0", fmt.Sprint("edge-", reader), members)
		assert.Equal(t, len(ordered), len(members))
		heads[ordered[0]] = true
	}
	own := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")}
	for head := range heads {
		assert.Assert(t, slices.Contains(own, head), "%s is of another zone", head)
	}
	assert.Equal(t, len(heads), len(own))
}
