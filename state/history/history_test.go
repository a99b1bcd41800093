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

// conversation is a chain as replicas hold it.
type conversation struct {
	program string
	turns   []*statev1.Turn
	stored  []replica.Turn
}

// add appends a turn that follows the previous digest, at the next sequence
// number but for a gap.
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
	c.stored = append(c.stored, store(t, turn))
}

func store(t rapid.TB, turn *statev1.Turn) replica.Turn {
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

// messagesOf returns what the caller and the model said in the turns.
func messagesOf(t rapid.TB, turns []*statev1.Turn) []json.RawMessage {
	messages := []json.RawMessage{}
	for _, turn := range turns {
		var added []json.RawMessage
		assert.NilError(t, json.Unmarshal(turn.GetMessages(), &added))
		messages = append(append(messages, added...), turn.GetAnswer())
	}
	return messages
}

func drawConversation(t *rapid.T, program string, least int) *conversation {
	c := &conversation{program: program}
	for range rapid.IntRange(least, 6).Draw(t, "turns of "+program) {
		c.add(t, c.head(), rapid.Uint64Range(0, 2).Draw(t, "gap"), rapid.String().Draw(t, "text"))
	}
	return c
}

func checkTurns(t rapid.TB, actual, expected []*statev1.Turn) {
	assert.Assert(t, slices.EqualFunc(actual, expected, func(a, b *statev1.Turn) bool { return proto.Equal(a, b) }))
}

// TestChainIsFoundAmongEverything: the chain comes back whole and in order from
// a pile with turns of another program, orphans, repeats and corrupt copies.
func TestChainIsFoundAmongEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own, other := drawConversation(t, "own", 0), drawConversation(t, "other", 0)
		pile := slices.Concat(own.stored, own.stored, other.stored)
		for i, turn := range own.turns {
			orphan := proto.CloneOf(turn)
			orphan.Answer = []byte(`{"role":"assistant","content":"No."}`)
			corrupt := own.stored[i]
			corrupt.Object = corrupt.Object[1:]
			pile = append(pile, store(t, orphan), corrupt)
		}
		pile = rapid.Permutation(pile).Draw(t, "pile")
		turns, missing, err := history.Assemble("own", own.head(), slices.Values(pile))
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

// TestMissingTurnIsNamed: without one turn the rest after it is returned.
func TestMissingTurnIsNamed(t *testing.T) {
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

// TestMixedChainNeverVerifies: a chain with a turn of another program, or with
// a turn out of order, is refused wherever that turn stands, also when all the
// digests fit.
func TestMixedChainNeverVerifies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConversation(t, "own", 1)
		wrong := proto.CloneOf(c.turns[len(c.turns)-1])
		wrong.Previous = c.head()
		if rapid.Bool().Draw(t, "other program") {
			wrong.Program = "other"
			wrong.Sequence++
		} else {
			wrong.Sequence -= rapid.Uint64Range(0, wrong.Sequence).Draw(t, "step back")
		}
		c.turns, c.stored = append(c.turns, wrong), append(c.stored, store(t, wrong))
		for range rapid.IntRange(0, 2).Draw(t, "turns after it") {
			c.add(t, c.head(), wrong.GetSequence()+uint64(len(c.turns)), "later")
		}
		_, _, err := history.Assemble("own", c.head(), slices.Values(c.stored))
		assert.ErrorIs(t, err, history.ErrBrokenChain)
		_, err = history.NewChain("own", c.head(), c.turns)
		assert.ErrorIs(t, err, history.ErrBrokenChain)
	})
}

func TestTurnThatDoesNotFollowIsRefused(t *testing.T) {
	c := &conversation{program: "own"}
	c.add(t, nil, 0, "first")
	c.add(t, c.head(), 0, "second")
	stray := &conversation{program: "own", turns: slices.Clone(c.turns[:1])}
	stray.add(t, nil, 5, "follows nothing")
	chain, err := history.NewChain("own", c.head(), c.turns)
	assert.NilError(t, err)
	_, err = chain.Extend("own", stray.turns[1], stray.stored[0].Digest)
	assert.ErrorIs(t, err, history.ErrBrokenChain)
	_, err = history.NewChain("own", c.head()[:7], c.turns)
	assert.ErrorContains(t, err, "7 bytes")
	_, _, err = history.Assemble("own", c.head()[:7], slices.Values(c.stored))
	assert.ErrorContains(t, err, "7 bytes")
}

// TestCorruptObjectNeverDecodes: any change of an object's bytes either leaves
// the turn as it was or is refused.
func TestCorruptObjectNeverDecodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &conversation{program: "own"}
		c.add(t, nil, 0, strings.Repeat(rapid.String().Draw(t, "text"), rapid.IntRange(1, 50).Draw(t, "times")))
		object, digest := slices.Clone(c.stored[0].Object), history.Digest(c.stored[0].Digest)
		place := rapid.IntRange(0, len(object)-1).Draw(t, "place")
		if rapid.Bool().Draw(t, "cut") {
			object = object[:place]
		} else {
			object[place] ^= rapid.ByteRange(1, 255).Draw(t, "change")
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

func TestLargeTurns(t *testing.T) {
	turn := &statev1.Turn{Messages: make([]byte, history.MaxTurnBytes+1)}
	_, _, err := history.Encode(turn)
	assert.ErrorIs(t, err, history.ErrTooLarge)

	turn.Messages = turn.Messages[:history.MaxTurnBytes-100]
	object, digest, err := history.Encode(turn)
	assert.NilError(t, err)
	decoded, err := history.Decode(object, digest)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(decoded, turn))

	_, err = history.Decode(bomb(t), digest)
	assert.ErrorIs(t, err, history.ErrCorrupt)
	assert.ErrorContains(t, err, "decompressing")
}

func TestMessagesThatAreNoArray(t *testing.T) {
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
	holds := func(program string) bool {
		_, found := cache.Lookup(program, chains[program].Head())
		return found
	}
	cache.Store("a", chains["a"])
	cache.Store("b", chains["b"])
	assert.Assert(t, holds("a"))
	cache.Store("c", chains["c"])
	assert.Assert(t, holds("a") && holds("c") && !holds("b"))
	assert.Equal(t, cache.Bytes(), 2*size)

	cache.Store("a", chains["a"])
	assert.Equal(t, cache.Bytes(), 2*size)
	first := chains["a"].Newest().GetPrevious()
	part, found := cache.Lookup("a", first)
	assert.Assert(t, found)
	assert.Equal(t, part.Len(), 1)
	_, found = cache.Lookup("c", first)
	assert.Assert(t, !found)
	empty, found := cache.Lookup("unknown", nil)
	assert.Assert(t, found && empty.Len() == 0 && empty.Newest() == nil)

	small := history.NewCache(size - 1)
	small.Store("a", chains["a"])
	assert.Equal(t, small.Bytes(), 0)
}
