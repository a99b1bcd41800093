package directory_test

import (
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/directory"
	"github.com/marblering/marblering/coordination/follow"
)

// FuzzSets checks that invalid replica sets in the store leave the known number of shards
// unchanged.
func FuzzSets(f *testing.F) {
	for _, spec := range []string{
		`{"shards":4,"views":[{"shard":0,"epoch":1}]}`, `null`, `{}`, `[]`, `{"shards":-1}`, `{"shards":2,"views":[{"shard":9}]}`, "\xff",
	} {
		f.Add([]byte(spec))
	}
	f.Fuzz(func(t *testing.T, spec []byte) {
		lookup := directory.NewLookup(nil, zap.NewNop())
		sets := func(spec []byte, at int64) follow.Snapshot {
			return follow.Snapshot{At: at, Objects: []follow.Object{{Name: directory.SetsName, Revision: at, Spec: spec}}}
		}
		lookup.Apply(sets([]byte(`{"shards":4}`), 1))
		lookup.Apply(sets(spec, 2))
		assert.Equal(t, lookup.Shards(), uint32(4))
		nodes, revisions := directory.DecodeNodes(sets(spec, 2))
		assert.Equal(t, len(revisions), 1)
		assert.Assert(t, len(nodes) <= 1)
	})
}
