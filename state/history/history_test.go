package history_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/history"
	"github.com/marblering/marblering/state/replica"
)

// conversation holds the turns of a chain and their stored form.
type conversation struct {
	program string
	turns   []*statev1.Turn
	stored  []replica.Turn
}

// add appends a turn that links to the previous digest. Its sequence number
// skips gap numbers after the last turn's.
func (c *conversation) add(t rapid.TB, previous []byte, gap uint64, text string) {
	sequence := gap + 1
	if len(c.turns) > 0 {
		sequence += c.turns[len(c.turns)-1].GetSequence()
	}
	quoted, err := json.Marshal(text)
	assert.NilError(t, err)
	turn := &statev1.Turn{
		Program: c.program, Sequence: sequence, Previous: previous,
		Messages: fmt.Appendf(nil, `[{"role":"user","content":%s}, {"role":"user","content":"more"}]`, quoted),
		Answer:   []byte(`{"role":"assistant","content":"Yes."}`),
	}
	c.turns = append(c.turns, turn)
	c.stored = append(c.stored, toReplicaTurn(t, turn))
}

func toReplicaTurn(t rapid.TB, turn *statev1.Turn) replica.Turn {
	object, digest, err := history.Encode(turn)
	assert.NilError(t, err)
	return replica.Turn{Program: turn.GetProgram(), Sequence: turn.GetSequence(), Digest: digest, Object: object}
}

func (c *conversation) head() []byte {
	if len(c.stored) == 0 {
		return nil
	}
	return history.Digest(c.stored[len(c.stored)-1].Digest).Bytes()
}

// messagesOf returns the messages and answers of the turns in order.
func messagesOf(t rapid.TB, turns []*statev1.Turn) []json.RawMessage {
	messages := []json.RawMessage{}
	for _, turn := range turns {
		var added []json.RawMessage
		assert.NilError(t, json.Unmarshal(turn.GetMessages(), &added))
		messages = append(append(messages, added...), turn.GetAnswer())
	}
	return messages
}

func drawConversation(t *rapid.T, program string, minTurns int) *conversation {
	c := &conversation{program: program}
	for range rapid.IntRange(minTurns, 6).Draw(t, "turns of "+program) {
		c.add(t, c.head(), rapid.Uint64Range(0, 2).Draw(t, "gap"), rapid.String().Draw(t, "text"))
	}
	return c
}

func checkTurns(t rapid.TB, actual, expected []*statev1.Turn) {
	assert.Assert(t, slices.EqualFunc(actual, expected, func(a, b *statev1.Turn) bool { return proto.Equal(a, b) }))
}

// TestAssembleIgnoresUnrelatedTurns checks that the complete chain is returned in
// order despite turns of another program, orphans, duplicates and corrupt copies.
func TestAssembleIgnoresUnrelatedTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own, other := drawConversation(t, "own", 0), drawConversation(t, "other", 0)
		stored := slices.Concat(own.stored, own.stored, other.stored)
		for i, turn := range own.turns {
			orphan := proto.CloneOf(turn)
			orphan.Answer = []byte(`{"role":"assistant","content":"No."}`)
			corrupt := own.stored[i]
			corrupt.Object = corrupt.Object[1:]
			stored = append(stored, toReplicaTurn(t, orphan), corrupt)
		}
		stored = rapid.Permutation(stored).Draw(t, "stored")
		turns, missing, err := history.Assemble("own", own.head(), slices.Values(stored))
		assert.NilError(t, err)
		assert.Equal(t, len(missing), 0)
		checkTurns(t, turns, own.turns)

		chain, err := history.NewChain("own", own.head(), turns)
		assert.NilError(t, err)
		assert.DeepEqual(t, chain.Head(), own.head())
		checkTurns(t, chain.Turns(), own.turns)
		messages := messagesOf(t, turns)
		assert.DeepEqual(t, chain.Messages(), messages)
		assert.Equal(t, len(messages), 3*len(turns))
		assert.Equal(t, chain.Tokens(), history.EstimateTokens(messages))
	})
}

// TestAssembleReportsMissingTurn checks that the digest of a missing turn and the
// turns after it are returned.
func TestAssembleReportsMissingTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConversation(t, "own", 1)
		lost := rapid.IntRange(0, len(c.stored)-1).Draw(t, "lost")
		rest := slices.Delete(slices.Clone(c.stored), lost, lost+1)
		turns, missing, err := history.Assemble("own", c.head(), slices.Values(rest))
		assert.NilError(t, err)
		assert.DeepEqual(t, missing, []history.Digest{c.stored[lost].Digest})
		checkTurns(t, turns, c.turns[lost+1:])
	})
}

// TestInvalidChainIsRejected guards against accepting a turn of another program or
// a turn out of order, at any place in the chain, when all digests match.
func TestInvalidChainIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConversation(t, "own", 1)
		invalid := proto.CloneOf(c.turns[len(c.turns)-1])
		invalid.Previous = c.head()
		if rapid.Bool().Draw(t, "other program") {
			invalid.Program = "other"
			invalid.Sequence++
		} else {
			invalid.Sequence -= rapid.Uint64Range(0, invalid.Sequence).Draw(t, "step back")
		}
		c.turns, c.stored = append(c.turns, invalid), append(c.stored, toReplicaTurn(t, invalid))
		for range rapid.IntRange(0, 2).Draw(t, "turns after it") {
			c.add(t, c.head(), invalid.GetSequence()+uint64(len(c.turns)), "later")
		}
		_, _, err := history.Assemble("own", c.head(), slices.Values(c.stored))
		assert.ErrorIs(t, err, history.ErrBrokenChain)
		_, err = history.NewChain("own", c.head(), c.turns)
		assert.ErrorIs(t, err, history.ErrBrokenChain)
	})
}

func TestUnlinkedTurnIsRejected(t *testing.T) {
	c := &conversation{program: "own"}
	c.add(t, nil, 0, "first")
	c.add(t, c.head(), 0, "second")
	unlinked := &conversation{program: "own", turns: slices.Clone(c.turns[:1])}
	unlinked.add(t, nil, 5, "unlinked")
	chain, err := history.NewChain("own", c.head(), c.turns)
	assert.NilError(t, err)
	_, err = chain.Extend("own", unlinked.turns[1], unlinked.stored[0].Digest)
	assert.ErrorIs(t, err, history.ErrBrokenChain)
	_, err = history.NewChain("own", c.head()[:7], c.turns)
	assert.ErrorContains(t, err, "7 bytes")
	_, _, err = history.Assemble("own", c.head()[:7], slices.Values(c.stored))
	assert.ErrorContains(t, err, "7 bytes")
}

// TestCorruptObjectIsRejected checks that decoding an object with changed bytes
// fails unless the decoded turn is unchanged.
func TestCorruptObjectIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &conversation{program: "own"}
		c.add(t, nil, 0, strings.Repeat(rapid.String().Draw(t, "text"), rapid.IntRange(1, 50).Draw(t, "times")))
		object, digest := slices.Clone(c.stored[0].Object), history.Digest(c.stored[0].Digest)
		position := rapid.IntRange(0, len(object)-1).Draw(t, "position")
		if rapid.Bool().Draw(t, "cut") {
			object = object[:position]
		} else {
			object[position] ^= rapid.ByteRange(1, 255).Draw(t, "change")
		}
		turn, err := history.Decode(object, digest)
		if err == nil {
			assert.Assert(t, proto.Equal(turn, c.turns[0]))
			return
		}
		assert.ErrorIs(t, err, history.ErrCorrupt)
		_, err = history.Decode(c.stored[0].Object, history.Digest{1})
		assert.ErrorIs(t, err, history.ErrCorrupt)
	})
}

func TestTurnSizeLimit(t *testing.T) {
	turn := &statev1.Turn{Messages: make([]byte, history.MaxTurnBytes+1)}
	_, _, err := history.Encode(turn)
	assert.ErrorIs(t, err, history.ErrTooLarge)

	turn.Messages = turn.Messages[:history.MaxTurnBytes-100]
	object, digest, err := history.Encode(turn)
	assert.NilError(t, err)
	decoded, err := history.Decode(object, digest)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(decoded, turn))

	_, err = history.Decode(oversizedObject(t), digest)
	assert.ErrorIs(t, err, history.ErrCorrupt)
	assert.ErrorContains(t, err, "decompressing")
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	for _, broken := range []string{`{}`, `[{}`, `[{},]`, `7`, `[{}]x`} {
		turns := []*statev1.Turn{{Program: "own", Sequence: 3, Messages: []byte(broken)}}
		_, err := history.NewChain("own", make([]byte, 32), turns)
		assert.ErrorContains(t, err, `turn 3 of program "own"`, broken)
	}
}

func TestCacheIsBounded(t *testing.T) {
	chains := make(map[string]*history.Chain)
	for _, program := range []string{"a", "b", "c"} {
		c := &conversation{program: program}
		c.add(t, nil, 0, strings.Repeat("x", 1000))
		c.add(t, c.head(), 0, "second")
		chain, err := history.NewChain(program, c.head(), c.turns)
		assert.NilError(t, err)
		chains[program] = chain
	}
	size := chains["a"].Bytes()
	cache := history.NewCache(2 * size)
	cached := func(program string) bool {
		_, found := cache.Lookup(program, chains[program].Head())
		return found
	}
	cache.Store("a", chains["a"])
	cache.Store("b", chains["b"])
	assert.Assert(t, cached("a"))
	cache.Store("c", chains["c"])
	assert.Assert(t, cached("a") && cached("c") && !cached("b"))
	assert.Equal(t, cache.Bytes(), 2*size)

	cache.Store("a", chains["a"])
	assert.Equal(t, cache.Bytes(), 2*size)
	first := chains["a"].Newest().GetPrevious()
	prefix, found := cache.Lookup("a", first)
	assert.Assert(t, found)
	assert.Equal(t, prefix.Len(), 1)
	_, found = cache.Lookup("c", first)
	assert.Assert(t, !found)
	empty, found := cache.Lookup("unknown", nil)
	assert.Assert(t, found && empty.Len() == 0 && empty.Newest() == nil)

	small := history.NewCache(size - 1)
	small.Store("a", chains["a"])
	assert.Equal(t, small.Bytes(), 0)
}
