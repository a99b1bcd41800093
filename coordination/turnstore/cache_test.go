package turnstore

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

// lineOf returns the turns of a line, each with the ids of those before it.
func lineOf(length int) (turns []*statev1.RetainedTurn) {
	var before []string
	for index := range length {
		id := fmt.Sprintf("turn-%019d", index)
		turns = append(turns, &statev1.RetainedTurn{Id: id, Ancestors: slices.Clone(before), Input: []byte("input"), Output: []byte("output")})
		before = append(before, id)
	}
	return turns
}

// TestLongLineFitsTheCache guards against lines whose turns evict each other, so that they are read
// again and again.
func TestLongLineFitsTheCache(t *testing.T) {
	const length, bytesPerTurn = 700, 512
	line := lineOf(length)
	c := newCache(length * bytesPerTurn)
	for _, turn := range line {
		c.put(turn)
	}
	for _, turn := range line {
		got, found := c.get(turn.GetId())
		assert.Assert(t, found, "%s was evicted", turn.GetId())
		assert.Assert(t, proto.Equal(got, turn))
	}
}

// TestCachedTurnKeepsAllFields guards against turns that are stored again without a field, of this
// build or a later one.
func TestCachedTurnKeepsAllFields(t *testing.T) {
	const unknownField = 1000
	turn := &statev1.RetainedTurn{}
	fields := turn.ProtoReflect().Descriptor().Fields()
	for index := range fields.Len() {
		field := fields.Get(index)
		switch {
		case field.IsList():
			list := turn.ProtoReflect().Mutable(field).List()
			list.Append(protoreflect.ValueOfString("before"))
		case field.Kind() == protoreflect.StringKind:
			turn.ProtoReflect().Set(field, protoreflect.ValueOfString(string(field.Name())))
		case field.Kind() == protoreflect.BytesKind:
			turn.ProtoReflect().Set(field, protoreflect.ValueOfBytes([]byte(field.Name())))
		default:
			turn.ProtoReflect().Set(field, protoreflect.ValueOfInt64(int64(index+1)))
		}
	}
	turn.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, unknownField, protowire.VarintType), 7))
	c := newCache(1)
	c.put(turn)
	got, found := c.get(turn.GetId())
	assert.Assert(t, found)
	assert.Assert(t, proto.Equal(got, turn), "%v for %v", got, turn)
}

// TestCachedTurnsKeepTheirAncestors guards against turns that get those of another line with which
// they share the list.
func TestCachedTurnsKeepTheirAncestors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCache(rapid.IntRange(1, 8).Draw(t, "turns that fit") * 2 * entryOverheadBytes)
		var made []*statev1.RetainedTurn
		for index := range rapid.IntRange(1, 30).Draw(t, "turns") {
			next := &statev1.RetainedTurn{Id: fmt.Sprint(index), Tenant: fmt.Sprint("tenant-", index%3), RetentionMs: int64(index), Route: "r"}
			if len(made) > 0 && rapid.IntRange(0, 9).Draw(t, "root") > 0 {
				parent := rapid.SampledFrom(made).Draw(t, "parent")
				next.Ancestors = append(slices.Clone(parent.GetAncestors()), parent.GetId())
			}
			made = append(made, next)
			c.put(rapid.SampledFrom(made).Draw(t, "put again"))
			c.put(next)
			for _, turn := range made {
				if got, found := c.get(turn.GetId()); found {
					assert.Assert(t, proto.Equal(got, turn), "%v for %v", got, turn)
					_ = append(got.GetAncestors(), "of a caller")
				}
			}
		}
		for c.order.Len() > 0 {
			c.evictOldest()
		}
		assert.Equal(t, c.size, 0)
	})
}
